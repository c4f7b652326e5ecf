//! A keep-alive client to one address. Connections go back to the pool once a reply was read whole.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};
use tokio::net::TcpStream;

type Sender = SendRequest<Full<Bytes>>;

/// Why a request got no reply.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ClientError {
    /// No connection could be made.
    #[snafu(display("cannot connect to {addr}: {source}"))]
    Connect {
        /// The server's address.
        addr: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The connection broke before the reply's head or in the middle of its body.
    #[snafu(display("exchange with {addr} failed: {source}"))]
    Exchange {
        /// The server's address.
        addr: SocketAddr,
        /// The cause.
        source: hyper::Error,
    },
}

/// A client to one address.
#[derive(Clone)]
pub struct Client {
    addr: SocketAddr,
    idle: Arc<Mutex<Vec<Sender>>>,
}

impl Client {
    /// A client without connections yet.
    pub fn open(addr: SocketAddr) -> Self {
        Self { addr, idle: Arc::default() }
    }

    /// The server's address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sends `request` and waits for the head of its reply.
    ///
    /// # Errors
    /// No connection, or one that broke. Nothing is sent twice, but for a request that an idle
    /// connection handed back unsent.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Result<Reply, ClientError> {
        let mut request = request;
        while let Some(mut sender) = self.take() {
            match sender.try_send_request(request).await {
                Ok(response) => return Ok(self.reply(sender, response)),
                Err(mut failed) => match failed.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(self.broken(failed.into_error())),
                },
            }
        }
        let mut sender = self.connect().await?;
        let sent = sender.send_request(request).await;
        let response = sent.map_err(|e| self.broken(e))?;
        Ok(self.reply(sender, response))
    }

    fn take(&self) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|sender| !sender.is_closed());
        idle.pop()
    }

    fn give_back(&self, sender: Sender) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.push(sender);
    }

    async fn connect(&self) -> Result<Sender, ClientError> {
        let addr = self.addr;
        let opened = TcpStream::connect(addr).await;
        let stream = opened.map_err(|source| ClientError::Connect { addr, source })?;
        let _ = stream.set_nodelay(true);
        let shaken = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = shaken.map_err(|e| self.broken(e))?;
        tokio::spawn(connection);
        Ok(sender)
    }

    fn broken(&self, source: hyper::Error) -> ClientError {
        ClientError::Exchange { addr: self.addr, source }
    }

    fn reply(&self, sender: Sender, response: Response<Incoming>) -> Reply {
        Reply { response, sender, client: self.clone() }
    }
}

/// A reply whose body is still to be read. Dropped before its end, its connection closes.
pub struct Reply {
    /// The head, and the body as it comes in.
    pub response: Response<Incoming>,
    sender: Sender,
    client: Client,
}

impl Reply {
    /// The status.
    pub fn status(&self) -> u16 {
        self.response.status().as_u16()
    }

    /// A header's value, if it is there and is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.response.headers().get(name)?.to_str().ok()
    }

    /// The next frame of the body: data or trailers; `None` at its end.
    ///
    /// # Errors
    /// The connection broke before the end.
    pub async fn frame(&mut self) -> Option<Result<hyper::body::Frame<Bytes>, ClientError>> {
        let frame = self.response.body_mut().frame().await?;
        Some(frame.map_err(|e| self.client.broken(e)))
    }

    /// The reply with its body, which gives the connection back when it has been read whole.
    pub(crate) fn into_response(self) -> Response<PooledBody> {
        let Self { response, sender, client } = self;
        response.map(|body| PooledBody { body, lent: Some((client, sender)) })
    }

    /// Gives the connection back after the whole body was read.
    pub fn finish(self) {
        self.client.give_back(self.sender);
    }

    /// Reads the rest of the body and gives the connection back.
    ///
    /// # Errors
    /// The connection broke before the end.
    pub async fn collect(mut self) -> Result<Bytes, ClientError> {
        let whole = self.response.body_mut().collect().await;
        let bytes = whole.map_err(|e| self.client.broken(e))?.to_bytes();
        self.finish();
        Ok(bytes)
    }
}

/// A body that gives its connection back at its end.
pub(crate) struct PooledBody {
    body: Incoming,
    lent: Option<(Client, Sender)>,
}

impl Body for PooledBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        let failed = matches!(frame, Some(Err(_)));
        if failed {
            self.lent = None;
        } else if (frame.is_none() || self.body.is_end_stream())
            && let Some((client, sender)) = self.lent.take()
        {
            client.give_back(sender);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
