//! Removal of hop-by-hop headers.

use hyper::HeaderMap;
use hyper::header::{CONNECTION, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE};

const HOP_BY_HOP: [HeaderName; 8] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    HeaderName::from_static("proxy-authorization"),
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Copies the end-to-end headers that `keep` accepts.
///
/// Headers listed in `Connection` are dropped, except those that start with `x-`: a client must not
/// be able to remove the platform's own headers.
pub(crate) fn copy_end_to_end(
    from: &HeaderMap,
    to: &mut HeaderMap,
    keep: impl Fn(&HeaderName) -> bool,
) {
    let named: Vec<String> = from
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .map(|v| v.trim().to_ascii_lowercase())
        .filter(|v| !v.starts_with("x-"))
        .collect();
    for (name, value) in from {
        let is_hop = HOP_BY_HOP.contains(name) || named.iter().any(|n| n == name.as_str());
        if !is_hop && keep(name) {
            to.append(name.clone(), value.clone());
        }
    }
}
