//! Connection pool for upstreams.

use super::constants::{
    CONNECT_TIMEOUT, IDLE_CONNECTIONS_MAX, IDLE_MARGIN, IDLE_TIMEOUT, IDLE_TIMEOUT_UNSAFE,
    REFUSED_IDS_MAX, UNACKED_TIMEOUT,
};
use crate::base::clock::Clock;
use crate::base::constants::ANSWER_BUFFER_BYTES;
use crate::base::error::with_sources;
use crate::base::metered::{Meter, MeteredBody, MeteredStream, SocketBuffers, set_buffers};
use crate::base::name::Name;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HeaderName;
use hyper::{HeaderMap, Request, Response};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use std::cell::{Cell, RefCell};
use std::error::Error;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;
use tokio_util::task::AbortOnDropHandle;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// A connection to an upstream. Dropping it resets the TCP connection, which also makes the
/// upstream abandon its work.
pub(crate) struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    meter: Rc<Meter>,
    idle_timeout: Duration,
    idle_since: Duration,
    is_reused: bool,
    /// Ids of the requests that were refused on it, of which a late copy may still arrive.
    refused: Vec<Name>,
    _task: AbortOnDropHandle<()>,
}

/// The body of an upstream's answer.
pub(crate) type UpstreamBody = MeteredBody<Incoming>;

/// Why no connection was established.
#[derive(Debug)]
pub(crate) struct ConnectError {
    /// Whether the upstream did not respond at all, not even by refusing the connection.
    pub(crate) is_unreachable: bool,
    /// Error reported by the operating system or by hyper.
    pub(crate) detail: String,
}

/// Why a request got no response head.
#[derive(Debug)]
pub(crate) enum SendError {
    /// No byte of the request was written.
    Unsent(String),
    /// The upstream closed the connection or sent what is no answer. The request may have reached
    /// it, and reaches it no later.
    Lost(String),
    /// The connection failed without a word from the upstream, which may receive the request later.
    Unacked(String),
}

/// Idle connections by upstream address.
pub(crate) struct Pool {
    clock: Clock,
    idle: RefCell<IndexMap<SocketAddr, Vec<Connection>>>,
    opened: Cell<u64>,
    /// Sizes of the socket buffers of a connection, if they are set.
    socket_buffers: Option<SocketBuffers>,
}

impl Pool {
    /// No connections yet; each gets `socket_buffers`.
    pub(crate) fn new(clock: Clock, socket_buffers: Option<SocketBuffers>) -> Self {
        Self { clock, idle: RefCell::default(), opened: Cell::new(0), socket_buffers }
    }

    /// Number of connections opened since the previous call.
    pub(crate) fn take_opened(&self) -> u64 {
        self.opened.take()
    }

    /// Returns an idle connection to `address` for the request `id`, or opens one.
    ///
    /// # Errors
    /// The connection is refused, or not established in time.
    pub(crate) async fn connection(
        &self,
        address: SocketAddr,
        repeatable: bool,
        id: &Name,
    ) -> Result<Connection, ConnectError> {
        match self.take_idle(address, repeatable, id) {
            Some(connection) => Ok(connection),
            None => self.open(address).await,
        }
    }

    /// Whether a process accepts connections at `address`; `None` if its host does not respond.
    pub(crate) async fn is_listening(&self, address: SocketAddr) -> Option<bool> {
        match self.open(address).await {
            Ok(connection) => {
                self.keep(connection);
                Some(true)
            }
            Err(error) => (!error.is_unreachable).then_some(false),
        }
    }

    /// Returns a connection to the pool after a complete response with `headers`, unless the
    /// upstream closes it.
    pub(crate) fn put_back(&self, mut connection: Connection, headers: &HeaderMap) {
        let closes = headers.get_all(hyper::header::CONNECTION).iter();
        let closes = closes.filter_map(|v| v.to_str().ok());
        if closes.flat_map(|v| v.split(',')).any(|t| t.trim().eq_ignore_ascii_case("close")) {
            return;
        }
        connection.is_reused = true;
        connection.idle_timeout = keep_alive_timeout(headers).unwrap_or(IDLE_TIMEOUT);
        self.keep(connection);
    }

    fn keep(&self, mut connection: Connection) {
        connection.idle_since = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let pooled = idle.entry(connection.address).or_default();
        if pooled.len() < IDLE_CONNECTIONS_MAX && connection.refused.len() < REFUSED_IDS_MAX {
            pooled.push(connection);
        }
    }

    /// Drops connections that are closed or past their idle timeout.
    pub(crate) fn close_expired(&self) {
        let now = self.clock.now();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|c| !c.sender.is_closed() && now < c.idle_since + c.idle_timeout);
            !connections.is_empty()
        });
    }

    fn take_idle(&self, address: SocketAddr, repeatable: bool, id: &Name) -> Option<Connection> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let pooled = idle.get_mut(&address)?;
        // Most recently used first, so that surplus connections expire.
        while let Some(connection) = pooled.pop() {
            let limit = if repeatable {
                connection.idle_timeout
            } else {
                connection.idle_timeout.min(IDLE_TIMEOUT_UNSAFE)
            };
            // A late copy of the refusal would look like one of this request.
            let is_refused = connection.refused.contains(id);
            if !is_refused && connection.sender.is_ready() && now < connection.idle_since + limit {
                return Some(connection);
            }
        }
        None
    }

    async fn open(&self, address: SocketAddr) -> Result<Connection, ConnectError> {
        let connect = async {
            let new = if address.is_ipv4() { TcpSocket::new_v4 } else { TcpSocket::new_v6 };
            let socket = new()?;
            // Before the connection is made, so that its window fits.
            if let Some(buffers) = self.socket_buffers {
                set_buffers(&socket, buffers)?;
            }
            let stream = socket.connect(address).await?;
            stream.set_nodelay(true)?;
            let socket = socket2::SockRef::from(&stream);
            socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT))?;
            // With a linger time of zero, closing sends a reset, so that a frozen host does not
            // read an abandoned request once it resumes. Complete responses have been read before
            // the close, so the reset truncates nothing.
            socket.set_linger(Some(Duration::ZERO))?;
            Ok(stream)
        };
        let stream: io::Result<TcpStream> =
            timeout(CONNECT_TIMEOUT, connect).await.unwrap_or(Err(ErrorKind::TimedOut.into()));
        let stream = stream.map_err(|error| ConnectError {
            is_unreachable: error.kind() != ErrorKind::ConnectionRefused,
            detail: error.to_string(),
        })?;
        let (stream, meter) = MeteredStream::new(stream);
        let mut builder = http1::Builder::new();
        builder.max_buf_size(ANSWER_BUFFER_BYTES);
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake
            .map_err(|error| ConnectError { is_unreachable: false, detail: error.to_string() })?;
        self.opened.set(self.opened.get() + 1);
        let task = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%address, %error, "upstream connection failed");
            }
        });
        let task = AbortOnDropHandle::new(task);
        Ok(Connection {
            address,
            sender,
            meter,
            idle_timeout: IDLE_TIMEOUT,
            idle_since: Duration::ZERO,
            is_reused: false,
            refused: Vec::new(),
            _task: task,
        })
    }
}

impl Connection {
    /// Whether it has served a request before.
    pub(crate) fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Records that the request `id` was refused on it.
    pub(crate) fn mark_refused(&mut self, id: &Name) {
        self.refused.push(id.clone());
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    /// The error states whether the request may have reached the upstream.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<UpstreamBody>, SendError> {
        // Whatever came while it was idle is no part of the answer.
        self.meter.progress();
        let response = self.sender.try_send_request(request).await.map_err(|mut failed| {
            let unsent = failed.take_message().is_some();
            let error = failed.into_error();
            let reason = with_sources(&error);
            match unsent {
                true => SendError::Unsent(reason),
                false if is_unacked(&error) => SendError::Unacked(reason),
                false => SendError::Lost(reason),
            }
        })?;
        self.meter.progress();
        Ok(response.map(|body| MeteredBody::new(body, self.meter.clone())))
    }
}

/// Whether a connection failed since its other end does not respond.
fn is_unacked(error: &hyper::Error) -> bool {
    let io = error.source().and_then(|s| s.downcast_ref::<io::Error>());
    let unheard = [ErrorKind::TimedOut, ErrorKind::HostUnreachable, ErrorKind::NetworkUnreachable];
    io.is_some_and(|e| unheard.contains(&e.kind()))
}

/// Idle timeout from the upstream's `Keep-Alive` header, less a margin.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = text.split(',').find_map(|p| p.trim().strip_prefix("timeout="))?;
    let stated = Duration::from_secs(seconds.trim().parse().ok()?);
    Some(stated.saturating_sub(IDLE_MARGIN).min(IDLE_TIMEOUT))
}
