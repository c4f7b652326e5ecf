//! Kept connections to upstreams.

use super::constants::{
    CONNECT_LIMIT, LINK_IDLE, LINK_IDLE_UNSAFE, LINK_MARGIN, LINKS_KEPT, UNACKED_LIMIT,
};
use crate::base::clock::Clock;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HeaderName;
use hyper::{HeaderMap, Request, Response};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::task::AbortOnDropHandle;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// A connection to an upstream. Dropping it resets it, and ends the upstream's work with it.
pub(crate) struct Link {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    idle: Duration,
    kept: Duration,
    _task: AbortOnDropHandle<()>,
}

/// Why there is no connection.
#[derive(Debug)]
pub(crate) struct ConnectError {
    /// Whether nothing was heard, not even a refusal.
    pub(crate) silent: bool,
    /// What the system reported.
    pub(crate) detail: String,
}

/// Why a request brought no head of an answer.
#[derive(Debug)]
pub(crate) enum SendError {
    /// Not a byte of it was written.
    Unsent(String),
    /// It may have reached the upstream.
    Lost(String),
}

/// All kept connections.
pub(crate) struct Pool {
    clock: Clock,
    links: RefCell<IndexMap<SocketAddr, Vec<Link>>>,
    opened: Cell<u64>,
}

impl Pool {
    /// A pool without connections.
    pub(crate) fn new(clock: Clock) -> Self {
        Self { clock, links: RefCell::default(), opened: Cell::new(0) }
    }

    /// Connections opened since the last call.
    pub(crate) fn take_opened(&self) -> u64 {
        self.opened.take()
    }

    /// A kept connection to `address`, or a new one.
    ///
    /// # Errors
    /// No connection in time.
    pub(crate) async fn link(
        &self,
        address: SocketAddr,
        repeatable: bool,
    ) -> Result<Link, ConnectError> {
        match self.take(address, repeatable) {
            Some(link) => Ok(link),
            None => self.open(address).await,
        }
    }

    /// Keeps a connection after a whole answer with `headers`.
    pub(crate) fn keep(&self, mut link: Link, headers: &HeaderMap) {
        let closes = headers.get_all(hyper::header::CONNECTION).iter();
        let closes = closes.filter_map(|v| v.to_str().ok());
        if closes.flat_map(|v| v.split(',')).any(|t| t.trim().eq_ignore_ascii_case("close")) {
            return;
        }
        link.kept = self.clock.now();
        link.idle = stated_idle(headers).unwrap_or(LINK_IDLE);
        let mut links = self.links.borrow_mut();
        let kept = links.entry(link.address).or_default();
        if kept.len() < LINKS_KEPT {
            kept.push(link);
        }
    }

    /// Closes connections that are idle for too long.
    pub(crate) fn sweep(&self) {
        let now = self.clock.now();
        self.links.borrow_mut().retain(|_, links| {
            links.retain(|l| !l.sender.is_closed() && now < l.kept + l.idle);
            !links.is_empty()
        });
    }

    fn take(&self, address: SocketAddr, repeatable: bool) -> Option<Link> {
        let now = self.clock.now();
        let mut links = self.links.borrow_mut();
        let kept = links.get_mut(&address)?;
        // The newest first: the others come of age and are closed.
        while let Some(link) = kept.pop() {
            let limit = if repeatable { link.idle } else { link.idle.min(LINK_IDLE_UNSAFE) };
            if link.sender.is_ready() && now < link.kept + limit {
                return Some(link);
            }
        }
        None
    }

    async fn open(&self, address: SocketAddr) -> Result<Link, ConnectError> {
        let connect = async {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            let socket = socket2::SockRef::from(&stream);
            socket.set_tcp_user_timeout(Some(UNACKED_LIMIT))?;
            // What was given up must not wait to be read where a host is frozen. Whole answers
            // have been read by the time of the close, so that a reset cuts nothing.
            socket.set_linger(Some(Duration::ZERO))?;
            Ok(stream)
        };
        let stream: std::io::Result<TcpStream> = timeout(CONNECT_LIMIT, connect)
            .await
            .unwrap_or(Err(std::io::ErrorKind::TimedOut.into()));
        let stream = stream.map_err(|error| ConnectError {
            silent: error.kind() != std::io::ErrorKind::ConnectionRefused,
            detail: error.to_string(),
        })?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) =
            handshake.map_err(|error| ConnectError { silent: false, detail: error.to_string() })?;
        self.opened.set(self.opened.get() + 1);
        let task = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%address, %error, "connection to an upstream ended");
            }
        });
        let task = AbortOnDropHandle::new(task);
        Ok(Link { address, sender, idle: LINK_IDLE, kept: Duration::ZERO, _task: task })
    }
}

impl Link {
    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    /// Whether the request may have reached the upstream.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.sender.try_send_request(request).await.map_err(|mut failed| {
            let unsent = failed.take_message().is_some();
            let reason = failed.into_error().to_string();
            if unsent { SendError::Unsent(reason) } else { SendError::Lost(reason) }
        })
    }
}

/// The time after which the upstream closes an idle connection, as it states it.
fn stated_idle(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = text.split(',').find_map(|p| p.trim().strip_prefix("timeout="))?;
    let stated = Duration::from_secs(seconds.trim().parse().ok()?);
    Some(stated.saturating_sub(LINK_MARGIN).min(LINK_IDLE))
}
