//! Free addresses for processes that have to know theirs before they start.

use std::collections::BTreeSet;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::{Mutex, PoisonError};

#[cfg(test)]
mod tests;

/// Ports given out so far. A port that is free again may already be meant for another process of
/// this one, such as a test beside.
static GIVEN: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// First byte of the loopback addresses.
const LOOPBACK: u8 = 127;

/// Second byte of the addresses given out, so that they differ from the usual 127.0.0.1.
const SECOND: u8 = 77;

/// An address of this process alone. Others bind their ports on other addresses, so a port that is
/// free here stays free.
fn own_address() -> IpAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(LOOPBACK, SECOND, high, low.max(1)).into()
}

/// Gives `count` addresses whose ports are free for TCP and UDP.
///
/// # Errors
/// No port is left.
pub(crate) fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    let mut held = Vec::new();
    while held.len() < count {
        let listener = TcpListener::bind((own_address(), 0))?;
        let address = listener.local_addr()?;
        // A port that is taken for UDP alone is passed over.
        let Ok(socket) = UdpSocket::bind(address) else { continue };
        if GIVEN.lock().unwrap_or_else(PoisonError::into_inner).insert(address.port()) {
            held.push((listener, socket));
        }
    }
    held.iter().map(|(listener, _)| listener.local_addr()).collect()
}
