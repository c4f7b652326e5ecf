//! papayaproxy is a load balancer for expert-parallel model groups and plain services.
//!
//! The library contains all roles; the binaries under `src/bin` only call it.

pub(crate) mod base;

pub(crate) mod balance;
pub(crate) mod catalog;
pub(crate) mod peers;
pub(crate) mod platform;
pub(crate) mod quarantine;

pub mod agent;
pub mod console;
pub mod ctl;
pub mod daemon;
pub mod delivery;
pub mod drain;
pub mod entry;
pub mod experts;
pub mod fleet;
pub mod gateway;
pub mod limits;
pub mod membership;
pub mod orders;
pub mod ranks;
pub mod routing;
pub mod settings;
pub mod streams;
pub mod telemetry;
pub mod wire;

pub use base::clock::Clock;
pub use base::code::{Code, CodeRow, Outcome, row as code_row};
pub use base::constants;
pub use base::control::Control;
pub use base::digest::Digest;
pub use base::error::ProcessError;
pub use base::event::Event;
pub use base::name::{Incarnation, Name, is_name};

/// Result codes of all modules.
pub const CODE_TABLES: &[&[CodeRow]] = &[
    agent::codes::ROWS,
    console::codes::ROWS,
    ctl::codes::ROWS,
    delivery::codes::ROWS,
    drain::codes::ROWS,
    entry::codes::ROWS,
    experts::codes::ROWS,
    fleet::codes::ROWS,
    gateway::codes::ROWS,
    limits::codes::ROWS,
    membership::codes::ROWS,
    orders::codes::ROWS,
    routing::codes::ROWS,
    settings::codes::ROWS,
    streams::codes::ROWS,
    telemetry::codes::ROWS,
    wire::codes::ROWS,
];

/// Log events of all modules.
pub const EVENT_TABLES: &[&[Event]] = &[
    agent::events::ROWS,
    balance::events::ROWS,
    base::events::ROWS,
    catalog::events::ROWS,
    console::events::ROWS,
    ctl::events::ROWS,
    delivery::events::ROWS,
    drain::events::ROWS,
    entry::events::ROWS,
    experts::events::ROWS,
    fleet::events::ROWS,
    gateway::events::ROWS,
    limits::events::ROWS,
    membership::events::ROWS,
    orders::events::ROWS,
    peers::events::ROWS,
    quarantine::events::ROWS,
    ranks::events::ROWS,
    routing::events::ROWS,
    settings::events::ROWS,
    streams::events::ROWS,
    telemetry::events::ROWS,
    wire::events::ROWS,
];

/// Settings of all daemons.
pub const SETTING_TABLES: &[(&str, &[&[settings::SettingRow]])] = &[
    ("papaya-entry", entry::TABLES),
    ("papaya-entry --direct", gateway::TABLES),
    ("papaya-agent", agent::TABLES),
    ("papaya-agent --direct", ranks::TABLES),
    ("papaya-console", console::TABLES),
];
