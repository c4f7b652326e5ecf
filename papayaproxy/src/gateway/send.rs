//! Sends a request to one upstream, and judges the head of the response.

use super::attempts::{FailedAttempt, ResponseHead};
use super::constants::{REFUSAL_BYTES_MAX, REFUSAL_TIMEOUT};
use super::envelope::Verdict;
use super::exchange::Exchange;
use super::pool::{Connection, SendError, UpstreamBody};
use super::seats::SeatGuard;
use crate::balance::{Balancer, SendOutcome};
use crate::platform::{replica, request};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Request};
use tokio::time::timeout;

impl Exchange {
    /// Opens a connection to the upstream of `seat`, or takes an idle one.
    pub(super) async fn connect(&self, seat: &SeatGuard) -> Result<Connection, FailedAttempt> {
        self.history.tried.borrow_mut().push(seat.seat().upstream.clone());
        self.in_flight.record_send(&seat.seat().upstream);
        let repeatable = self.route.kind.is_repeatable();
        let address = seat.seat().address;
        let connection = self.shared.pool.connection(address, repeatable, &self.envelope.id).await;
        connection.map_err(|error| {
            let outcome =
                if error.is_unreachable { SendOutcome::Unreached } else { SendOutcome::Closed };
            self.fail_not_run(seat, outcome, error.detail)
        })
    }

    /// Sends the request and reads the head of the response. `may_leave` states whether a silent
    /// upstream may be left.
    pub(super) async fn send(
        &self,
        seat: &SeatGuard,
        mut connection: Connection,
        last_event: Option<u64>,
        may_leave: bool,
    ) -> Result<ResponseHead, FailedAttempt> {
        let history = &self.history;
        let request = self.build_request(seat, last_event);
        let upstream = &seat.seat().upstream;
        let sent_at = self.shared.clock.now();
        // Counted before it is sent, since an attempt that is given up later may still run.
        history.runs.update(|n| n + 1);
        let transit = self.retries.send();
        let sent = connection.send(request);
        let response = match self.next_from(upstream, sent_at, sent, may_leave).await {
            Some(Ok(response)) => response,
            Some(Err(SendError::Unsent(detail))) => {
                history.runs.update(|n| n - 1);
                transit.unsent();
                return Err(self.fail_not_run(seat, SendOutcome::Stale, detail));
            }
            Some(Err(SendError::Lost(detail))) => {
                transit.arrived();
                self.record_broken(seat, sent_at);
                return Err(self.fail(seat, SendOutcome::Lost, true, detail));
            }
            Some(Err(SendError::Unacked(detail))) => {
                return Err(self.fail(seat, SendOutcome::Lost, true, detail));
            }
            None => {
                let detail = "no response in time".into();
                return Err(self.fail(seat, SendOutcome::Silent, true, detail));
            }
        };
        let (parts, body) = response.into_parts();
        let is_reused = connection.is_reused();
        let verdict = replica::verdict(&self.envelope.id, parts.status, &parts.headers, is_reused);
        if !matches!(verdict, Verdict::Foreign | Verdict::NotRun { misdirected: true }) {
            let limit = replica::rate_limit(&parts.headers);
            let (now, draw) = (self.shared.clock.now(), rand::random());
            let observe = |b: &mut Balancer| b.observe_limit(upstream, limit, draw, now);
            self.shared.seats.with_balancer(observe);
        }
        // A copy of another answer proves nothing.
        if verdict != Verdict::Foreign {
            transit.arrived();
        }
        match verdict {
            Verdict::NotRun { misdirected } => {
                let outcome = if misdirected { SendOutcome::Foreign } else { SendOutcome::Full };
                let detail = format!("{} without running the request", parts.status);
                history.runs.update(|n| n - 1);
                self.drain_body(body, connection, &parts.headers).await;
                Err(self.fail_not_run(seat, outcome, detail))
            }
            Verdict::Foreign => {
                let detail = format!("{} is not a valid response to this request", parts.status);
                Err(self.fail(seat, SendOutcome::Lost, true, detail))
            }
            Verdict::Unproven => {
                let detail = format!("{} does not state whether the request ran", parts.status);
                Err(self.fail(seat, SendOutcome::Failed, true, detail))
            }
            verdict => {
                let began = self.shared.clock.now();
                Ok(ResponseHead { parts, body, connection, verdict, sent_at, began })
            }
        }
    }

    /// Reads the short body of a refusal, so that its connection can be reused.
    async fn drain_body(
        &self,
        body: UpstreamBody,
        mut connection: Connection,
        headers: &HeaderMap,
    ) {
        connection.mark_refused(&self.envelope.id);
        let read = self.shared.buffers.collect(body, REFUSAL_BYTES_MAX);
        if let Ok(Ok(_)) = timeout(REFUSAL_TIMEOUT, read).await {
            self.shared.pool.put_back(connection, headers);
        }
    }

    fn build_request(&self, seat: &SeatGuard, last_event: Option<u64>) -> Request<Full<Bytes>> {
        let attempt = request::AttemptHeaders {
            replica: &seat.seat().upstream,
            workspace: self.workspace.as_ref().map(|w| w.name.as_str()),
            time_left: Some(self.time_left()),
            urgency: self.urgency(),
            last_event,
        };
        let mut request = Request::new(Full::new(self.body.bytes.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = request::replica_headers(&self.headers, &attempt);
        request
    }

    /// An attempt that failed before its answer began.
    pub(super) fn fail(
        &self,
        seat: &SeatGuard,
        outcome: SendOutcome,
        may_have_run: bool,
        detail: String,
    ) -> FailedAttempt {
        let upstream = seat.seat().upstream.clone();
        FailedAttempt { upstream, outcome, may_have_run, detail, began: None }
    }

    /// An attempt in which the upstream did not run the request.
    fn fail_not_run(
        &self,
        seat: &SeatGuard,
        outcome: SendOutcome,
        detail: String,
    ) -> FailedAttempt {
        self.history.not_run.update(|n| n + 1);
        self.fail(seat, outcome, false, detail)
    }
}
