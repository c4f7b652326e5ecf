//! Query strings of the stand-ins, whose values need no decoding.

/// The value of `key` in `query`.
pub(crate) fn value<'a>(query: Option<&'a str>, key: &str) -> Option<&'a str> {
    let pairs = query?.split('&').filter_map(|p| p.split_once('='));
    pairs.into_iter().find(|(k, _)| *k == key).map(|(_, v)| v)
}

/// The number under `key` in `query`.
pub(crate) fn number(query: Option<&str>, key: &str) -> Option<u64> {
    value(query, key)?.parse().ok()
}
