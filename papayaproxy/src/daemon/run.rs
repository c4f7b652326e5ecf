//! Runs a daemon from its command line to its graceful stop.

use super::command::{Options, command, direct_arg};
use super::gateway::run_gateway;
use super::open::{open_agent, open_entry};
use super::ranks::run_ranks;
use crate::agent::AgentSettings;
use crate::base::control::Control;
use crate::base::error::ProcessError;
use crate::console::{Console, ConsoleSettings};
use crate::entry::EntrySettings;
use crate::settings::{LogSettings, SettingsError};
use crate::telemetry::LogGuard;
use std::ffi::OsString;
use std::process::ExitCode;
use tokio::runtime::Builder;
use tokio::signal::unix::{Signal, SignalKind, signal};

const DIRECT_ENTRY: &str = "Forwards straight to upstreams over HTTP, without agents";
const DIRECT_AGENT: &str = "Gives the orders of the model replica on its host; requests go past it";

/// Exit code of a daemon whose settings are wrong.
const EXIT_SETTINGS: u8 = 2;

/// Runs `papaya-entry` with `args`.
pub fn run_entry(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let about = "Takes callers' requests and routes them to upstreams";
    let command = command("papaya-entry", about).arg(direct_arg(DIRECT_ENTRY));
    let options = Options::read(&command.get_matches_from(args));
    if options.direct {
        return run_gateway(&options);
    }
    let settings = EntrySettings::open(options.settings.as_deref(), &options.overrides);
    let main = Main {
        log: |s: &EntrySettings| &s.process.log,
        threads: |s: &EntrySettings| s.process.threads,
    };
    run(settings, &options, main, |settings| async move {
        let control = spawn_control()?;
        let entry = open_entry(settings, &control).await?;
        stopped().await;
        entry.stop().await;
        Ok(())
    })
}

/// Runs `papaya-agent` with `args`.
pub fn run_agent(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let about = "Guards one upstream: the only gate to it";
    let command = command("papaya-agent", about).arg(direct_arg(DIRECT_AGENT));
    let options = Options::read(&command.get_matches_from(args));
    if options.direct {
        return run_ranks(&options);
    }
    let settings = AgentSettings::open(options.settings.as_deref(), &options.overrides);
    let main = Main {
        log: |s: &AgentSettings| &s.process.log,
        threads: |s: &AgentSettings| s.process.threads,
    };
    run(settings, &options, main, |settings| async move {
        let control = spawn_control()?;
        let agent = open_agent(settings, &control).await?;
        stopped().await;
        agent.stop().await;
        Ok(())
    })
}

/// Runs `papaya-console` with `args`.
pub fn run_console(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let about = "Operators' forms for the fleet document";
    let options = Options::read(&command("papaya-console", about).get_matches_from(args));
    let settings = ConsoleSettings::open(options.settings.as_deref(), &options.overrides);
    let main = Main { log: |s: &ConsoleSettings| &s.log, threads: |_: &ConsoleSettings| 1 };
    run(settings, &options, main, |settings| async move {
        let address = settings.address;
        let console = Console::bind(settings).await;
        let _console = console.map_err(|source| ProcessError::Listen { address, source })?;
        stopped().await;
        Ok(())
    })
}

/// Where a daemon's settings hold what its start needs.
struct Main<T> {
    log: fn(&T) -> &LogSettings,
    threads: fn(&T) -> usize,
}

fn spawn_control() -> Result<Control, ProcessError> {
    Control::spawn().map_err(|source| ProcessError::Control { source })
}

/// Runs `body` with checked settings, or reports what is wrong with them.
fn run<T, F>(
    settings: Result<T, SettingsError>,
    options: &Options,
    main: Main<T>,
    body: impl FnOnce(T) -> F,
) -> ExitCode
where
    F: Future<Output = Result<(), ProcessError>>,
{
    match accept(settings, options, main.log) {
        Ok((settings, _log)) => drive((main.threads)(&settings), body(settings)),
        Err(exit) => exit,
    }
}

/// Opens the log, or gives the exit code where settings are wrong or were only to be checked.
pub(super) fn accept<T>(
    settings: Result<T, SettingsError>,
    options: &Options,
    log: fn(&T) -> &LogSettings,
) -> Result<(T, LogGuard), ExitCode> {
    let settings = settings.map_err(|error| {
        eprintln!("{error}");
        ExitCode::from(EXIT_SETTINGS)
    })?;
    if options.check {
        println!("settings are valid");
        return Err(ExitCode::SUCCESS);
    }
    let guard = log(&settings).open();
    Ok((settings, guard))
}

/// Runs `body` on the traffic threads.
fn drive(threads: usize, body: impl Future<Output = Result<(), ProcessError>>) -> ExitCode {
    let runtime = match Builder::new_multi_thread().worker_threads(threads).enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start threads: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(body) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(code = %error.code(), "{error}");
            ExitCode::FAILURE
        }
    }
}

/// Waits for SIGTERM or SIGINT.
pub(super) async fn stopped() {
    let (Ok(mut term), Ok(mut int)) = (on(SignalKind::terminate()), on(SignalKind::interrupt()))
    else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}

pub(super) fn on(kind: SignalKind) -> std::io::Result<Signal> {
    signal(kind)
}
