//! Settings of the console.

use crate::base::digest::Digest;
use crate::base::name::Name;
use crate::settings::{Reader, SettingRow, SettingsError, parse_name};
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::path::Path;

/// The console's section.
const SECTION: &str = "console";

/// Its settings.
pub const SETTINGS: &[SettingRow] = &[
    SettingRow {
        section: SECTION,
        key: "listen",
        default: Some("127.0.0.1:7390"),
        meaning: "HTTP address of the console; put it behind TLS for use from other hosts",
    },
    SettingRow {
        section: SECTION,
        key: "platform",
        default: None,
        meaning: "HTTP address of the platform's configuration service",
    },
    SettingRow {
        section: SECTION,
        key: "processes",
        default: Some(""),
        meaning: "HTTP addresses for operators of entries and agents, separated by commas",
    },
    SettingRow {
        section: SECTION,
        key: "operators",
        default: None,
        meaning: "operators as NAME:DIGEST, separated by commas; the digest is the first 32 \
                  hexadecimal digits of the credential's BLAKE3 hash",
    },
];

/// Checked settings of the console.
#[derive(Clone, Debug)]
pub struct ConsoleSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Addresses of the processes to be shown.
    pub processes: Vec<SocketAddr>,
    /// Digest of each operator's credential.
    pub operators: IndexMap<Name, Digest>,
}

impl ConsoleSettings {
    /// Reads `file` and `overrides` of the form `section.key=value`.
    ///
    /// # Errors
    /// Every mistake found.
    pub fn read(file: Option<&Path>, overrides: &[String]) -> Result<Self, SettingsError> {
        Self::take(Reader::open(file, overrides, &[SETTINGS]))
    }

    pub(crate) fn take(mut reader: Reader) -> Result<Self, SettingsError> {
        let listen = reader.parsed(SECTION, "listen", "an IP address and port");
        let platform = reader.parsed(SECTION, "platform", "an IP address and port");
        let processes = reader.value(SECTION, "processes", parse_addresses).unwrap_or_default();
        let operators = reader.value(SECTION, "operators", parse_operators);
        let built = listen.zip(platform).zip(operators);
        let built = built.map(|((listen, platform), operators)| Self {
            listen,
            platform,
            processes,
            operators,
        });
        reader.finish(built)
    }
}

fn parse_addresses(text: &str) -> Result<Vec<SocketAddr>, String> {
    let parts = text.split(',').map(str::trim).filter(|p| !p.is_empty());
    let addresses: Result<Vec<SocketAddr>, _> = parts.map(str::parse).collect();
    addresses.map_err(|_| "IP addresses with ports, separated by commas".into())
}

fn parse_operators(text: &str) -> Result<IndexMap<Name, Digest>, String> {
    let expected = "operators as NAME:DIGEST, separated by commas";
    let parse_one = |part: &str| {
        let (name, digest) = part.split_once(':')?;
        Some((parse_name(name).ok()?, Digest::parse(digest)?))
    };
    let operators: Option<IndexMap<_, _>> = text.split(',').map(|p| parse_one(p.trim())).collect();
    operators.filter(|o| !o.is_empty()).ok_or_else(|| expected.to_owned())
}
