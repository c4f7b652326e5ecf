//! Headers that concern one connection only.

use hyper::HeaderMap;
use hyper::header::{CONNECTION, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE};

const HOP: [HeaderName; 8] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    HeaderName::from_static("proxy-authorization"),
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Copies the headers that concern both ends and that `keep` accepts.
///
/// A header that `Connection` names is left out only where we would not need it: a client cannot
/// remove the platform's own headers that way.
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
        let hop = HOP.contains(name) || named.iter().any(|n| n == name.as_str());
        if !hop && keep(name) {
            to.append(name.clone(), value.clone());
        }
    }
}
