//! Settings of membership.

use crate::settings::{Reader, SettingRow};
use std::net::SocketAddr;

/// Rows of the settings of membership.
pub const SETTINGS: &[SettingRow] = &[SettingRow {
    section: "membership",
    key: "peers",
    default: Some(""),
    meaning: "addresses and ports of some peers, separated by commas; the platform's list of \
              hosts and the fleet document name the others",
}];

/// Reads the peers; `None` if one is wrong, which the reader then reports.
pub fn read_peers(reader: &mut Reader) -> Option<Vec<SocketAddr>> {
    let expected = "addresses and ports separated by commas, such as 10.0.0.1:7400";
    let parse = |text: &str| {
        let parts = text.split(',').map(str::trim).filter(|p| !p.is_empty());
        let addresses: Result<Vec<SocketAddr>, _> = parts.map(str::parse).collect();
        addresses.map_err(|_| expected.to_owned())
    };
    let mut wrong = false;
    let found = reader.value("membership", "peers", |text| {
        let peers = parse(text);
        wrong = peers.is_err();
        peers
    });
    // An optional key that is absent is an empty list.
    if wrong { None } else { Some(found.unwrap_or_default()) }
}
