//! A server whose connections all end when it is stopped.

use super::body::Body;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// Pause after a failed accept, such as when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Answers one request. An error closes the connection without a reply.
pub type Handler =
    Arc<dyn Fn(Request<Incoming>) -> BoxFuture<'static, io::Result<Response<Body>>> + Send + Sync>;

/// Makes a handler of an async function.
pub(crate) fn handler<F, R>(answer: F) -> Handler
where
    F: Fn(Request<Incoming>) -> R + Send + Sync + 'static,
    R: Future<Output = io::Result<Response<Body>>> + Send + 'static,
{
    Arc::new(move |request| answer(request).boxed())
}

/// A running server.
pub struct Server {
    addr: SocketAddr,
    cancel: CancellationToken,
}

impl Server {
    /// Listens on `addr` and answers each request by `handler`.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn bind(addr: SocketAddr, handler: Handler) -> io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let cancel = CancellationToken::new();
        let accepting = accept(listener, handler, cancel.clone());
        tokio::spawn(cancel.clone().run_until_cancelled_owned(accepting));
        Ok(Self { addr, cancel })
    }

    /// The address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Ends when the server stops.
    pub(crate) fn stopped(&self) -> CancellationToken {
        self.cancel.clone()
    }

    /// Closes the listener and every connection at once, as a killed process would.
    pub fn stop(&self) {
        self.cancel.cancel();
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}

async fn accept(listener: TcpListener, handler: Handler, cancel: CancellationToken) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let serving = serve(stream, handler.clone());
        tokio::spawn(cancel.clone().run_until_cancelled_owned(serving));
    }
}

async fn serve(stream: TcpStream, handler: Handler) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| handler(request));
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder.timer(TokioTimer::new()).pipeline_flush(true);
    // A peer that goes away in the middle of a reply is ordinary here.
    let _ = builder.serve_connection(TokioIo::new(stream), service).await;
}
