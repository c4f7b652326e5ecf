//! The subcommand `plain`.

use super::server::{Plain, PlainSettings, bind};
use crate::daemon::{self, duration_arg, listen_arg, threads_arg};
use clap::{Arg, ArgAction, ArgMatches, Command};
use std::process::ExitCode;

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new("plain")
        .about("Stand-in for a plain service that counts how often each call ran")
        .arg(listen_arg())
        .arg(threads_arg())
        .arg(duration_arg("service", "2ms", "How long each call takes"))
        .arg(
            Arg::new("no-count")
                .long("no-count")
                .action(ArgAction::SetTrue)
                .help("Do not count calls one by one, for a measurement of speed"),
        )
}

/// Runs the subcommand until it is told to stop.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let settings = PlainSettings {
        listen: daemon::value(matches, "listen"),
        service: daemon::duration(matches, "service"),
        count: !matches.get_flag("no-count"),
    };
    let threads = daemon::value(matches, "threads");
    daemon::serve("plain service", threads, bind(settings), Plain::addr)
}
