//! Answers the balancer's question whether new connections are wanted.

use super::body::ReplyBody;
use super::process::Shared;
use crate::base::accept::accept;
use crate::platform::names::READY_PATH;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::rc::Rc;
use tokio::net::TcpListener;

/// Answers until the runtime ends.
pub(crate) async fn serve(listener: TcpListener, shared: Rc<Shared>) {
    loop {
        let stream = accept(&listener, "balancer").await;
        let shared = shared.clone();
        let service = service_fn(move |request| {
            let response = answer(&shared, &request);
            async move { Ok::<_, Infallible>(response) }
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service);
        tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%error, "the balancer's connection broke");
            }
        });
    }
}

fn answer<B>(shared: &Shared, request: &Request<B>) -> Response<ReplyBody> {
    let status = match request.uri().path() == READY_PATH {
        true if shared.is_ready() => StatusCode::OK,
        true => StatusCode::SERVICE_UNAVAILABLE,
        false => StatusCode::NOT_FOUND,
    };
    let mut response = Response::new(ReplyBody::whole(""));
    *response.status_mut() = status;
    response
}
