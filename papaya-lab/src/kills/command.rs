//! The subcommand `kills`, and the daemons as subcommands, so that one program is all it needs.

use super::report::Report;
use super::stops::run_stops;
use super::trial::run_trials;
use crate::daemon::{self, duration_arg, number_arg, threads_arg};
use clap::{Arg, ArgMatches, Command};
use std::ffi::OsString;
use std::io;
use std::process::ExitCode;
use std::time::Duration;
use tokio::task::JoinSet;

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new("kills")
        .about("Kills processes at each step of a call and checks what callers are told")
        .arg(threads_arg())
        .arg(number_arg("kills", "500", "Processes that are killed, over all rigs"))
        .arg(number_arg("rigs", "4", "Sets of processes side by side, 1 to 16"))
        .arg(number_arg("seed", "1", "Seed of steps and times"))
        .arg(duration_arg("patience", "500ms", "Wait beyond a deadline for the answer"))
}

/// Runs the subcommand; fails if anything untrue was told.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let kills: u64 = daemon::value(matches, "kills");
    let rigs = daemon::value::<u64>(matches, "rigs").clamp(1, 16);
    let seed: u64 = daemon::value(matches, "seed");
    let patience = daemon::duration(matches, "patience");
    daemon::run(daemon::value(matches, "threads"), async move {
        let report = run_rigs(kills, rigs, seed, patience).await?;
        println!("{}", serde_json::to_string_pretty(&report)?);
        let held = report.violations.is_empty();
        Ok(if held { ExitCode::SUCCESS } else { ExitCode::FAILURE })
    })
}

async fn run_rigs(kills: u64, rigs: u64, seed: u64, patience: Duration) -> io::Result<Report> {
    let mut running = JoinSet::new();
    for rig in 0..rigs {
        let share = kills / rigs + u64::from(rig < kills % rigs);
        running.spawn(run_trials(share, seed + rig, patience));
    }
    let mut report = Report::default();
    while let Some(done) = running.join_next().await {
        report.add(done.map_err(io::Error::other)??);
    }
    Ok(report)
}

/// Time after publishing in which a leaving upstream may still be given work.
const LEAVE_LIMIT: Duration = papayaproxy::constants::LEAVE_LIMIT;

/// Describes the subcommand `stops`.
pub fn stops_command() -> Command {
    Command::new("stops")
        .about("Lets an engine and a ledger leave under load, again and again")
        .arg(threads_arg())
        .arg(number_arg("stops", "20", "Planned stops"))
        .arg(number_arg("seed", "1", "Seed of the load"))
}

/// Runs `stops`; fails if a call was not completed or work came too late.
pub fn run_stop_command(matches: &ArgMatches) -> ExitCode {
    let stops = daemon::value::<u64>(matches, "stops") as usize;
    let seed = daemon::value(matches, "seed");
    daemon::run(daemon::value(matches, "threads"), async move {
        let report = run_stops(stops, seed).await?;
        println!("{}", serde_json::to_string_pretty(&report)?);
        let held = report.holds(LEAVE_LIMIT);
        Ok(if held { ExitCode::SUCCESS } else { ExitCode::FAILURE })
    })
}

/// Describes the daemon `papaya-entry` as a subcommand.
pub fn entry_command() -> Command {
    daemon_command("run-entry")
}

/// Describes the daemon `papaya-agent` as a subcommand.
pub fn agent_command() -> Command {
    daemon_command("run-agent")
}

fn daemon_command(name: &'static str) -> Command {
    let arguments = Arg::new("arguments").num_args(0..).last(true);
    Command::new(name).about("Runs a daemon of papayaproxy").hide(true).arg(arguments)
}

/// Runs `papaya-entry`.
pub fn run_entry(matches: &ArgMatches) -> ExitCode {
    papayaproxy::daemon::run_entry(arguments("papaya-entry", matches))
}

/// Runs `papaya-agent`.
pub fn run_agent(matches: &ArgMatches) -> ExitCode {
    papayaproxy::daemon::run_agent(arguments("papaya-agent", matches))
}

fn arguments(name: &str, matches: &ArgMatches) -> Vec<OsString> {
    let given = matches.get_many::<String>("arguments").unwrap_or_default();
    std::iter::once(name).chain(given.map(String::as_str)).map(OsString::from).collect()
}
