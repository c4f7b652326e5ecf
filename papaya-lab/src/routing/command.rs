//! The command line of the experiment.

use super::capacity::capacity;
use super::parts::{self, Scale};
use super::workload::Shape;
use clap::{Arg, ArgMatches, Command, value_parser};
use std::process::ExitCode;

/// Describes the subcommand.
pub(crate) fn command() -> Command {
    Command::new("routing")
        .about("Compares routing policies, overload and faults in virtual time")
        .arg(
            Arg::new("part")
                .default_value("compare")
                .value_parser(["capacity", "compare", "overload", "faults"])
                .help("Which part to run"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("Seed of the arrivals"),
        )
        .arg(
            Arg::new("shared")
                .long("shared")
                .default_value("4")
                .value_parser(value_parser!(usize))
                .help("Blocks that all prompts of a workspace begin with"),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .default_value("60")
                .value_parser(value_parser!(u64).range(20..=600))
                .help("Measured virtual seconds of a run"),
        )
}

/// Runs the subcommand.
pub(crate) fn run(matches: &ArgMatches) -> ExitCode {
    let seed = matches.get_one("seed").copied().unwrap_or(1);
    let seconds = matches.get_one("seconds").copied().unwrap_or(60);
    let shared = matches.get_one("shared").copied().unwrap_or(4);
    let shape = Shape { seed, shared };
    let scale = Scale { shape, seconds, capacity: capacity(shape) };
    println!(
        "capacity {:.1} requests/s, seed {seed}, {shared} shared blocks, {seconds} s measured",
        scale.capacity
    );
    match matches.get_one::<String>("part").map(String::as_str) {
        Some("compare") => parts::compare(&scale),
        Some("overload") => parts::overload(&scale),
        Some("faults") => parts::faults(&scale),
        _ => {}
    }
    ExitCode::SUCCESS
}
