//! Accepts connections, whatever happens to a single one.

use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Wait after a failed accept, so that a shortage of descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The next connection; `who` names the callers in the log.
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
