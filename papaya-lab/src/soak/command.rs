//! The subcommand `soak`.

use super::entry::{Bounds, Places};
use super::plan::{LINK_NAMES, NAMES};
use super::run::{Plan, run as run_soak};
use crate::daemon::{self, duration_arg, number_arg, threads_arg};
use clap::{Arg, ArgMatches, Command, value_parser};
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Exit code of a soak that could not run.
const NOT_RUN: u8 = 2;

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new("soak")
        .about("Runs entries as processes under a seeded load with faults and checks the rules")
        .arg(threads_arg())
        .arg(number_arg("seed", "1", "Seed of load and faults"))
        .arg(number_arg("seconds", "60", "Time of the load"))
        .arg(number_arg("entries", "3", "Entries, 1 to 100"))
        .arg(number_arg("replicas", "6", "Replicas of the service that streams"))
        .arg(number_arg("ledgers", "3", "Replicas of the plain service"))
        .arg(number_arg("load", "40", "Requests a second"))
        .arg(number_arg("slack", "92", "Repeats that the budget allows in any window"))
        .arg(duration_arg("drain", "2s", "Time after which a leaving replica gets no request"))
        .arg(
            Arg::new("faults")
                .long("faults")
                .value_name("LIST")
                .default_value("all")
                .help(format!("all, none, or some of {}", NAMES.join(","))),
        )
        .arg(Arg::new("links").long("links").value_name("LIST").default_value("none").help(
            format!(
                "Faults of links between entries and replicas: all, none, or some of {}",
                LINK_NAMES.join(",")
            ),
        ))
        .arg(
            Arg::new("programs")
                .long("programs")
                .value_name("DIRECTORY")
                .value_parser(value_parser!(PathBuf))
                .help("Directory of papaya-entry; without it, the daemon of this build"),
        )
        .arg(
            Arg::new("keep")
                .long("keep")
                .action(clap::ArgAction::SetTrue)
                .help("Keep the logs if all rules are held, too"),
        )
}

/// The faults that the argument `name` lists.
fn names(matches: &ArgMatches, name: &str, known: &[&str]) -> Result<Vec<String>, String> {
    let list: Vec<String> = match daemon::value::<String>(matches, name).as_str() {
        "all" => known.iter().map(ToString::to_string).collect(),
        "none" => Vec::new(),
        list => list.split(',').map(str::to_owned).collect(),
    };
    match list.iter().find(|f| !known.contains(&f.as_str())) {
        None => Ok(list),
        Some(unknown) => {
            Err(format!("--{name}: no fault {unknown:?}; expected some of {}", known.join(",")))
        }
    }
}

/// Runs the subcommand.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let (faults, links) =
        match (names(matches, "faults", &NAMES), names(matches, "links", &LINK_NAMES)) {
            (Ok(faults), Ok(links)) => (faults, links),
            (Err(error), _) | (_, Err(error)) => {
                eprintln!("papaya-lab: {error}");
                return NOT_RUN.into();
            }
        };
    let number = |name: &str| daemon::value::<u64>(matches, name);
    let (time, drain) =
        (Duration::from_secs(number("seconds")), daemon::duration(matches, "drain"));
    let threads = daemon::value(matches, "threads");
    let scratch = match tempfile::Builder::new().prefix("papaya-soak-").tempdir() {
        Ok(scratch) => scratch,
        Err(error) => {
            eprintln!("papaya-lab: no directory for logs: {error}");
            return NOT_RUN.into();
        }
    };
    let plan = Plan {
        seed: number("seed"),
        time,
        entries: number("entries").clamp(1, 100) as usize,
        replicas: number("replicas").max(1) as usize,
        ledgers: number("ledgers").max(1) as usize,
        load: number("load").max(1),
        faults,
        links,
        bounds: Bounds { slack: number("slack"), drain },
        places: Places {
            programs: matches.get_one("programs").cloned(),
            scratch: scratch.path().to_owned(),
        },
    };
    let seed = plan.seed;
    let mut keep = matches.get_flag("keep");
    let code = daemon::run(threads, async {
        let report = tokio::select! {
            report = run_soak(&plan) => report,
            stopped = daemon::wait_stop() => stopped.and(Err(io::ErrorKind::Interrupted.into())),
        };
        Ok(match report {
            Ok(report) => {
                print!("seed {seed}\n{}", report.text);
                keep |= !report.breaches.is_empty();
                ExitCode::from(u8::from(!report.breaches.is_empty()))
            }
            Err(error) => {
                eprintln!("papaya-lab: the soak with seed {seed} could not run: {error}");
                keep = true;
                NOT_RUN.into()
            }
        })
    });
    if keep {
        println!("logs and record.txt in {}", scratch.keep().display());
    }
    code
}
