//! Accepts connections and retries after a failed accept.

use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Delay after a failed accept, so that the loop does not spin while file descriptors are exhausted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Returns the next connection; `who` names the kind of client in the log.
pub(crate) async fn accept(listener: &TcpListener, who: &str) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                tracing::warn!(who, %error, "cannot accept a connection");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
