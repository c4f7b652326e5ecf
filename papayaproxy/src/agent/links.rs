//! Accepts links from entries and starts the work on their calls.

use super::events;
use crate::wire::LinkContext;
use crate::wire::server::{IncomingCall, OpenGuard, serve_link};
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// When a stopping agent closes what.
#[derive(Clone)]
pub(crate) struct Stops {
    /// No new link is accepted from then on.
    pub(crate) accept: CancellationToken,
    /// Every link is closed.
    pub(crate) links: CancellationToken,
}

/// Accepts links until it is told to stop, and hands each call to `handle`.
pub(crate) async fn accept_links<F>(
    listener: TcpListener,
    context: Arc<LinkContext>,
    handle: F,
    stops: Stops,
) where
    F: Fn(IncomingCall, OpenGuard) + Send + Sync + Clone + 'static,
{
    let links = TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stops.accept.cancelled() => break,
        };
        let Ok((stream, peer)) = accepted else {
            tokio::time::sleep(super::constants::ACCEPT_PAUSE).await;
            continue;
        };
        let (context, handle, stop) = (context.clone(), handle.clone(), stops.links.clone());
        links.spawn(async move {
            let served = tokio::select! {
                served = serve_link(stream, context, handle) => served,
                () = stop.cancelled() => return,
            };
            if let Err(error) = served {
                let code = error.code();
                tracing::debug!(event = events::LINK_REFUSED, %peer, %code, "{error}");
            }
        });
    }
}
