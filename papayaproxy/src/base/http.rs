//! Serves HTTP/1.1 by hyper, with a graceful stop.

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

/// Body of every response that our processes give.
pub(crate) type Body = BoxBody<Bytes, std::io::Error>;

/// Time in which a caller has to send the head of a request.
const HEAD_LIMIT: Duration = Duration::from_secs(10);

/// A whole body.
pub(crate) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed()
}

/// A plain-text response.
pub(crate) fn text(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full(text));
    *response.status_mut() = status;
    response
}

/// Serves connections of `listener` until `stop`, then lets those open finish their requests.
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
        let answer = handler(request);
        async move { Ok::<_, Infallible>(answer.await) }
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
