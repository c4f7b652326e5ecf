//! The wait of a request for a seat.

use super::attempts::StopReason;
use super::constants::SILENCE_CHECK_INTERVAL;
use super::exchange::Exchange;
use super::seats::SeatGuard;
use tokio::time::timeout;

impl Exchange {
    /// Waits for a seat until the deadline and, unless the request `may_have_run`, only while it can
    /// still end before a stop of the process does.
    pub(super) async fn acquire_seat(&self, may_have_run: bool) -> Result<SeatGuard, StopReason> {
        let resumed = may_have_run && self.route.kind.is_stream();
        let mut wait = std::pin::pin!(self.shared.seats.acquire(self.seat_request(resumed)));
        loop {
            let limit = self.time_left().min(SILENCE_CHECK_INTERVAL);
            let seat = timeout(limit, wait.as_mut()).await;
            // One that may have run goes on, since only its answer can end it well.
            if !matches!(seat, Ok(Err(_))) && !may_have_run && !self.can_finish() {
                return Err(StopReason::Stopping);
            }
            match seat {
                Ok(seat) => {
                    self.record_return(seat.as_ref().err().map(|refusal| refusal.reason));
                    return seat.map_err(StopReason::Refused);
                }
                Err(_) if self.time_left().is_zero() => return Err(StopReason::DeadlinePassed),
                Err(_) => {}
            }
        }
    }

    /// Records the decision on the first attempt of a returning request.
    fn record_return(&self, refusal: Option<&'static str>) {
        let Some(on_time) = self.kept_time.filter(|_| self.attempts() == 0) else { return };
        let result = match (on_time, refusal) {
            (true, None) => "on time, seated",
            (true, Some(_)) => "on time, refused",
            (false, None) => "not on time, seated",
            (false, Some(_)) => "not on time, refused",
        };
        self.shared.meters.record_return(&self.service, result);
        let id = &self.envelope.id;
        self.shared.seats.with_balancer(|b| b.log_return(id, on_time, refusal));
    }

    /// Whether the request ends before a stop of the process does.
    fn can_finish(&self) -> bool {
        let service = Some(&self.service);
        self.shared.can_finish(&self.envelope, &self.route, service, self.time_left())
    }
}
