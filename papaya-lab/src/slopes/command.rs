//! The subcommand `slopes`.

use super::line::Line;
use super::{choices, documents, keys, members, plans};
use clap::{Arg, ArgMatches, Command, value_parser};
use std::process::ExitCode;

/// Parts that can be measured alone.
const PARTS: [&str; 5] = ["document", "routing", "keys", "membership", "experts"];

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new("slopes")
        .about("Measures how cost grows with size, as a Markdown table for docs/CAPACITY.md")
        .arg(Arg::new("held").long("held").hide(true).value_parser(PARTS))
        .arg(Arg::new("size").long("size").hide(true).value_parser(value_parser!(usize)))
        .arg(
            Arg::new("part")
                .value_parser(PARTS)
                .num_args(0..)
                .help("Measures only these parts; all of them if none is named"),
        )
}

/// Runs the subcommand.
pub fn run(matches: &ArgMatches) -> ExitCode {
    if let Some(held) = matches.get_one::<String>("held") {
        let size = matches.get_one("size").copied().unwrap_or(0);
        println!("{}", held_kib(held, size));
        return ExitCode::SUCCESS;
    }
    let named: Vec<&String> = matches.get_many("part").into_iter().flatten().collect();
    println!("| what | by | measured | slope | extended |\n|---|---|---|---|---|");
    for part in PARTS {
        if named.is_empty() || named.iter().any(|n| *n == part) {
            lines(part).iter().for_each(|line| println!("{line}"));
        }
    }
    ExitCode::SUCCESS
}

/// Memory of one part at one size; right only in a process that does nothing else.
fn held_kib(part: &str, size: usize) -> f64 {
    match part {
        "document" => documents::held(size),
        "keys" => keys::held(size),
        "membership" => members::held(size),
        "experts" => plans::held(size),
        _ => f64::NAN,
    }
}

fn lines(part: &str) -> Vec<Line> {
    match part {
        "document" => documents::measure(),
        "routing" => choices::measure(),
        "keys" => keys::measure(),
        "membership" => members::measure(),
        _ => plans::measure(),
    }
}
