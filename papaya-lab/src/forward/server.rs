//! The running forwarder.

use crate::http::body::{Body, collect, text};
use crate::http::server::handler;
use crate::http::{Client, Server};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use std::io;
use std::net::SocketAddr;

/// Settings of a forwarder.
#[derive(Clone, Debug)]
pub struct ForwardSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Where every request goes.
    pub target: SocketAddr,
}

/// A running forwarder.
pub struct Forward {
    server: Server,
}

/// Binds a forwarder.
///
/// # Errors
/// The address cannot be bound.
pub async fn bind(settings: ForwardSettings) -> io::Result<Forward> {
    let client = Client::open(settings.target);
    let answer = handler(move |request| pass(client.clone(), request));
    Ok(Forward { server: Server::bind(settings.listen, answer).await? })
}

impl Forward {
    /// The address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Closes every connection at once.
    pub fn stop(&self) {
        self.server.stop();
    }
}

async fn pass(client: Client, request: Request<Incoming>) -> io::Result<Response<Body>> {
    let (head, body) = request.into_parts();
    let whole = collect(body).await?;
    let Ok(reply) = client.send(Request::from_parts(head, Full::new(whole))).await else {
        return Ok(text(StatusCode::BAD_GATEWAY, "the target does not answer\n"));
    };
    Ok(reply.into_response().map(|b| b.map_err(io::Error::other).boxed_unsync()))
}
