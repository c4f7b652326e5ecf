//! The subcommand `bench`.

use super::cpu::load_average;
use super::rig::{RigSettings, open};
use super::rounds::{BenchSettings, run_rounds};
use super::summary::Summary;
use crate::daemon::{self, duration_arg, number_arg, threads_arg};
use clap::{Arg, ArgMatches, Command, value_parser};
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

/// Threads of the measuring side.
const DRIVER_THREADS: u16 = 3;

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new("bench")
        .about("Measures what entry and agent add to a call, against a bare forwarder")
        .long_about(
            "Starts a plain service, a bare forwarder, an entry and an agent as processes of their \
             own, from the binaries beside this one, and measures the three ways to the service in \
             turn. Build with --release.",
        )
        .arg(number_arg("rounds", "3", "Rounds; each takes every way in turn"))
        .arg(duration_arg("duration", "5s", "How long each measurement lasts"))
        .arg(number_arg("connections", "32", "Connections of the measurements under load"))
        .arg(threads_arg())
        .arg(
            Arg::new("log")
                .long("log")
                .value_name("FILTER")
                .default_value("info")
                .help("Log filter of entry and agent"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Writes every measurement there, as JSON"),
        )
}

/// Runs the subcommand. A missed target is told, and does not fail it.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let rig = RigSettings {
        threads: daemon::value(matches, "threads"),
        log: daemon::value(matches, "log"),
    };
    let settings = BenchSettings {
        rounds: daemon::value::<u64>(matches, "rounds").clamp(1, 1000) as u32,
        duration: daemon::duration(matches, "duration"),
        connections: daemon::value::<u64>(matches, "connections").clamp(1, 10_000) as usize,
    };
    let json = matches.get_one::<PathBuf>("json").cloned();
    daemon::run(DRIVER_THREADS, async move {
        let rig = open(&rig).await?;
        let before = load_average();
        // Told to stop, it still ends the processes that it started.
        let rows = tokio::select! {
            rows = run_rounds(&rig, settings, |line| println!("{line}")) => rows?,
            _ = daemon::wait_stop() => return Ok(ExitCode::FAILURE),
        };
        let summary = Summary { rows, machine: [before, load_average()] };
        print!("{summary}");
        if let Some(path) = json {
            let text = serde_json::to_vec_pretty(&summary).map_err(io::Error::other)?;
            std::fs::write(path, text)?;
        }
        Ok(ExitCode::SUCCESS)
    })
}
