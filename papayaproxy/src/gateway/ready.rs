//! Readiness endpoint for the load balancer in front of the entries.

use super::body::ResponseBody;
use super::process::Shared;
use crate::base::accept::accept;
use crate::platform::names::READY_PATH;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::rc::Rc;
use tokio::net::TcpListener;

/// Serves readiness requests until the runtime ends.
pub(crate) async fn serve(listener: TcpListener, shared: Rc<Shared>) {
    loop {
        let stream = accept(&listener, "balancer").await;
        let shared = shared.clone();
        let service = service_fn(move |request| {
            let response = readiness(&shared, &request);
            async move { Ok::<_, Infallible>(response) }
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service);
        tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%error, "load balancer connection failed");
            }
        });
    }
}

fn readiness<B>(shared: &Shared, request: &Request<B>) -> Response<ResponseBody> {
    let status = match request.uri().path() == READY_PATH {
        true if shared.is_ready() => StatusCode::OK,
        true => StatusCode::SERVICE_UNAVAILABLE,
        false => StatusCode::NOT_FOUND,
    };
    let mut response = Response::new(ResponseBody::full(""));
    *response.status_mut() = status;
    response
}
