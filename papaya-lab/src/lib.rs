//! Stand-ins, load tool and experiments for papayaproxy. Used on test machines only.

pub mod bench;
pub(crate) mod daemon;
pub mod demo;
pub mod engine;
mod experts;
pub mod forward;
pub mod http;
pub mod kills;
pub mod load;
pub mod plain;
pub mod platform;
pub(crate) mod ports;
mod routing;
mod slopes;
pub mod soak;
mod spread;

use clap::{ArgMatches, Command};
use std::ffi::OsString;
use std::process::ExitCode;

/// One subcommand: how it is described and what it does.
pub struct Subcommand {
    /// Builds its description.
    pub command: fn() -> Command,
    /// Runs it to its end.
    pub run: fn(&ArgMatches) -> ExitCode,
}

/// Every subcommand of the lab.
const SUBCOMMANDS: &[Subcommand] = &[
    Subcommand { command: engine::command, run: engine::run },
    Subcommand { command: plain::command, run: plain::run },
    Subcommand { command: platform::command, run: platform::run },
    Subcommand { command: forward::command, run: forward::run },
    Subcommand { command: demo::command, run: demo::run },
    Subcommand { command: bench::command, run: bench::run },
    Subcommand { command: load::command, run: load::run },
    Subcommand { command: kills::command, run: kills::run },
    Subcommand { command: kills::stops_command, run: kills::run_stop_command },
    Subcommand { command: kills::entry_command, run: kills::run_entry },
    Subcommand { command: kills::agent_command, run: kills::run_agent },
    Subcommand { command: routing::command, run: routing::run },
    Subcommand { command: spread::command, run: spread::run },
    Subcommand { command: experts::command, run: experts::execute },
    Subcommand { command: slopes::command, run: slopes::run },
    Subcommand { command: soak::command, run: soak::run },
];

/// Parses `args` and runs the subcommand that they name.
pub fn run(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let matches = command().get_matches_from(args);
    let Some((name, inner)) = matches.subcommand() else {
        return ExitCode::FAILURE;
    };
    let found = SUBCOMMANDS.iter().find(|s| (s.command)().get_name() == name);
    found.map_or(ExitCode::FAILURE, |s| (s.run)(inner))
}

fn command() -> Command {
    Command::new("papaya-lab")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Stand-ins, load tool and experiments for papayaproxy")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands(SUBCOMMANDS.iter().map(|s| (s.command)()))
}
