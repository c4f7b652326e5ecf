//! Serves HTTP/1.1 with hyper and shuts down gracefully.

use super::accept::accept;
use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Body of a response from any process of the system.
pub(crate) type Body = BoxBody<Bytes, std::io::Error>;

/// Time limit for receiving a request head.
const HEAD_LIMIT: Duration = Duration::from_secs(10);

/// Returns a body whose bytes are all in memory.
pub(crate) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed()
}

/// Returns a response with `text` as its body and no content type.
pub(crate) fn text(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full(text));
    *response.status_mut() = status;
    response
}

/// Serves connections of `listener` until `stop`, then waits for the requests in progress.
pub(crate) async fn serve<F, A>(listener: TcpListener, handler: F, stop: CancellationToken)
where
    F: Fn(Request<Incoming>) -> A + Send + Sync + 'static,
    A: Future<Output = Response<Body>> + Send + 'static,
{
    let handler = Arc::new(handler);
    let tracker = TaskTracker::new();
    loop {
        let stream = tokio::select! {
            stream = accept(&listener, "caller") => stream,
            () = stop.cancelled() => break,
        };
        tracker.spawn(serve_connection(stream, handler.clone(), stop.clone()));
    }
    drop(listener);
    tracker.close();
    tracker.wait().await;
}

async fn serve_connection<F, A>(stream: TcpStream, handler: Arc<F>, stop: CancellationToken)
where
    F: Fn(Request<Incoming>) -> A + Send + Sync + 'static,
    A: Future<Output = Response<Body>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let response = handler(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_LIMIT)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = stop.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}
