//! The subcommand `engine`.

use super::server::{Engine, bind};
use super::settings::{EngineSettings, LoadedModel};
use crate::daemon::{self, duration_arg, listen_arg, number_arg, threads_arg};
use clap::{Arg, ArgAction, ArgMatches, Command};
use std::process::ExitCode;

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new("engine")
        .about("Stand-in for a model engine")
        .arg(listen_arg())
        .arg(threads_arg())
        .arg(Arg::new("model").long("model").default_value("assistant").help("Model that is ready"))
        .arg(number_arg("model-version", "1", "Its version"))
        .arg(Arg::new("adapter").long("adapter").action(ArgAction::Append).help("Adapter ready"))
        .arg(number_arg("slots", "16", "Sequences that run at a time"))
        .arg(duration_arg("step", "10ms", "Duration of a step of one sequence"))
        .arg(duration_arg("step-each", "200us", "What each further sequence adds to a step"))
        .arg(duration_arg("prefill-each", "20us", "What each uncached prompt token adds to a step"))
        .arg(number_arg("cache-tokens", "65536", "Prompt tokens that the prefix cache holds"))
        .arg(duration_arg("load-lag", "200ms", "Age of the load report"))
        .arg(duration_arg("event-lag", "500ms", "How late cache events are"))
        .arg(number_arg("event-gaps", "20", "Cache events that are lost, of 1000"))
        .arg(duration_arg("linger", "3s", "How long a stream without a reader goes on"))
        .arg(
            Arg::new("no-fencing")
                .long("no-fencing")
                .action(ArgAction::SetTrue)
                .help("Take orders whatever their fencing number"),
        )
}

/// Runs the subcommand until it is told to stop.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let threads = daemon::value(matches, "threads");
    daemon::serve("engine", threads, bind(settings(matches)), Engine::addr)
}

fn settings(matches: &ArgMatches) -> EngineSettings {
    let number = |name: &str| daemon::value::<u64>(matches, name);
    let adapters = matches.get_many::<String>("adapter").unwrap_or_default();
    let loaded = LoadedModel {
        model: daemon::value(matches, "model"),
        version: number("model-version") as u32,
        adapters: adapters.cloned().collect(),
    };
    EngineSettings {
        listen: daemon::value(matches, "listen"),
        slots: number("slots") as usize,
        step: daemon::duration(matches, "step"),
        step_each: daemon::duration(matches, "step-each"),
        prefill_each: daemon::duration(matches, "prefill-each"),
        cache_tokens: number("cache-tokens") as u32,
        load_lag: daemon::duration(matches, "load-lag"),
        event_lag: daemon::duration(matches, "event-lag"),
        event_gaps: number("event-gaps").min(1000) as u16,
        linger: daemon::duration(matches, "linger"),
        fencing: !matches.get_flag("no-fencing"),
        loaded: vec![loaded],
        ..EngineSettings::default()
    }
}
