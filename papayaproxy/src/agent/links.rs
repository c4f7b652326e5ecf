//! Accepts links from entries and dispatches their calls.

use super::events;
use crate::wire::LinkContext;
use crate::wire::server::{IncomingCall, OpenGuard, serve_link};
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Cancelled in two steps when the agent stops.
#[derive(Clone)]
pub(crate) struct StopTokens {
    /// Ends accepting links.
    pub(crate) accept: CancellationToken,
    /// Closes all links.
    pub(crate) links: CancellationToken,
}

/// Accepts links until `stops.accept` is cancelled, and passes each call to `handle`.
pub(crate) async fn accept_links<F>(
    listener: TcpListener,
    context: Arc<LinkContext>,
    handle: F,
    stops: StopTokens,
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
