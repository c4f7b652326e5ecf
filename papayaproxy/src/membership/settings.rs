//! Settings of membership.

use crate::settings::{Reader, SettingRow};
use std::net::SocketAddr;

/// Setting rows of membership.
pub const SETTINGS: &[SettingRow] = &[SettingRow {
    section: "membership",
    key: "peers",
    default: Some(""),
    meaning: "IP addresses with ports of known peers, separated by commas; others are found \
              through the platform's list of hosts and the fleet document",
}];

/// Reads the peers; `None` if one is invalid, which the reader reports.
pub fn read_peers(reader: &mut Reader) -> Option<Vec<SocketAddr>> {
    let expected = "IP addresses with ports, separated by commas, such as 10.0.0.1:7400";
    let parse = |text: &str| {
        let parts = text.split(',').map(str::trim).filter(|p| !p.is_empty());
        let addresses: Result<Vec<SocketAddr>, _> = parts.map(str::parse).collect();
        addresses.map_err(|_| expected.to_owned())
    };
    let mut is_invalid = false;
    let found = reader.value("membership", "peers", |text| {
        let peers = parse(text);
        is_invalid = peers.is_err();
        peers
    });
    // An absent optional key gives an empty list.
    if is_invalid { None } else { Some(found.unwrap_or_default()) }
}
