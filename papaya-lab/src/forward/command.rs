//! The subcommand `forward`.

use super::server::{Forward, ForwardSettings, bind};
use crate::daemon::{self, listen_arg, threads_arg};
use clap::{Arg, ArgMatches, Command, value_parser};
use std::net::SocketAddr;
use std::process::ExitCode;

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new("forward")
        .about("Bare one-hop forwarder, the baseline of the latency benchmark")
        .arg(listen_arg())
        .arg(threads_arg())
        .arg(
            Arg::new("target")
                .long("target")
                .value_name("ADDRESS")
                .required(true)
                .value_parser(value_parser!(SocketAddr))
                .help("Where every request goes"),
        )
}

/// Runs the subcommand until it is told to stop.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let listen = daemon::value(matches, "listen");
    let target = daemon::value(matches, "target");
    let settings = ForwardSettings { listen, target };
    let threads = daemon::value(matches, "threads");
    daemon::serve("forwarder", threads, bind(settings), Forward::addr)
}
