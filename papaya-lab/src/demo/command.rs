//! The subcommand `demo`.

use super::stage::{DemoSettings, run_demo};
use crate::daemon::{self, duration_arg, number_arg, threads_arg};
use clap::{Arg, ArgAction, ArgMatches, Command};
use papayaproxy::telemetry::{LogFormat, open_log};
use std::process::ExitCode;

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new("demo")
        .about("Runs every role in one process, with a planned stop under load")
        .arg(number_arg("rate", "120", "Requests a second"))
        .arg(duration_arg("duration", "10s", "How long requests are sent"))
        .arg(duration_arg("stop-after", "3s", "When two upstreams begin to leave"))
        .arg(number_arg("tokens", "24", "Pieces of each streamed answer"))
        .arg(
            Arg::new("kill")
                .long("kill")
                .action(ArgAction::SetTrue)
                .help("Kills two agents in place of the planned stops"),
        )
        .arg(threads_arg())
        .arg(
            Arg::new("log")
                .long("log")
                .value_name("FILTER")
                .default_value("off")
                .help("Log filter, such as info; lines go to standard error"),
        )
}

/// Runs the subcommand. Fails unless every request was completed and no stop cut one.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let _log = open_log(LogFormat::Text, &daemon::value::<String>(matches, "log"));
    let settings = DemoSettings {
        rate: daemon::value::<u64>(matches, "rate").max(1) as f64,
        duration: daemon::duration(matches, "duration"),
        tokens: daemon::value::<u64>(matches, "tokens").clamp(1, 10_000) as u32,
        stop_after: daemon::duration(matches, "stop-after"),
        kills: matches.get_flag("kill"),
    };
    daemon::run(daemon::value(matches, "threads"), async move {
        let summary = run_demo(&settings, |line| println!("{line}")).await?;
        print!("{summary}");
        let kept = summary.failures().is_empty();
        Ok(if kept { ExitCode::SUCCESS } else { ExitCode::FAILURE })
    })
}
