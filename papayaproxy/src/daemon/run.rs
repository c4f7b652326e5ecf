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

const DIRECT_ENTRY: &str = "Forwards directly to upstreams over HTTP, without agents";
const DIRECT_AGENT: &str = "Controls the model replica on its host; requests bypass it";

/// Exit code for invalid settings.
const EXIT_SETTINGS: u8 = 2;

/// Runs `papaya-entry` with `args`.
pub fn run_entry(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let about = "Routes callers' requests to upstreams";
    let command = command("papaya-entry", about).arg(direct_arg(DIRECT_ENTRY));
    let options = Options::read(&command.get_matches_from(args));
    if options.direct {
        return run_gateway(&options);
    }
    let settings = EntrySettings::open(options.settings.as_deref(), &options.overrides);
    let access = SettingsAccess {
        log: |s: &EntrySettings| &s.process.log,
        threads: |s: &EntrySettings| s.process.threads,
    };
    run(settings, &options, access, |settings| async move {
        let control = spawn_control()?;
        let entry = open_entry(settings, &control).await?;
        stop_signal().await;
        entry.stop().await;
        Ok(())
    })
}

/// Runs `papaya-agent` with `args`.
pub fn run_agent(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let about = "Forwards all calls to its upstream and reports its load";
    let command = command("papaya-agent", about).arg(direct_arg(DIRECT_AGENT));
    let options = Options::read(&command.get_matches_from(args));
    if options.direct {
        return run_ranks(&options);
    }
    let settings = AgentSettings::open(options.settings.as_deref(), &options.overrides);
    let access = SettingsAccess {
        log: |s: &AgentSettings| &s.process.log,
        threads: |s: &AgentSettings| s.process.threads,
    };
    run(settings, &options, access, |settings| async move {
        let control = spawn_control()?;
        let agent = open_agent(settings, &control).await?;
        stop_signal().await;
        agent.stop().await;
        Ok(())
    })
}

/// Runs `papaya-console` with `args`.
pub fn run_console(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let about = "Web console for editing the fleet document";
    let options = Options::read(&command("papaya-console", about).get_matches_from(args));
    let settings = ConsoleSettings::open(options.settings.as_deref(), &options.overrides);
    let access =
        SettingsAccess { log: |s: &ConsoleSettings| &s.log, threads: |_: &ConsoleSettings| 1 };
    run(settings, &options, access, |settings| async move {
        let address = settings.address;
        let console = Console::bind(settings).await;
        let _console = console.map_err(|source| ProcessError::Listen { address, source })?;
        stop_signal().await;
        Ok(())
    })
}

/// Accessors for the settings that every daemon needs at start.
struct SettingsAccess<T> {
    log: fn(&T) -> &LogSettings,
    threads: fn(&T) -> usize,
}

fn spawn_control() -> Result<Control, ProcessError> {
    Control::spawn().map_err(|source| ProcessError::Control { source })
}

/// Runs `body` with valid settings; invalid ones are reported on standard error.
fn run<T, F>(
    settings: Result<T, SettingsError>,
    options: &Options,
    access: SettingsAccess<T>,
    body: impl FnOnce(T) -> F,
) -> ExitCode
where
    F: Future<Output = Result<(), ProcessError>>,
{
    match start_log(settings, options, access.log) {
        Ok((settings, _log)) => block_on_threads((access.threads)(&settings), body(settings)),
        Err(exit) => exit,
    }
}

/// Opens the log and returns it with the settings, or returns the exit code if they are invalid or
/// only a check was requested.
pub(super) fn start_log<T>(
    settings: Result<T, SettingsError>,
    options: &Options,
    log: fn(&T) -> &LogSettings,
) -> Result<(T, LogGuard), ExitCode> {
    let settings = settings.map_err(|error| {
        eprintln!("{error}");
        ExitCode::from(EXIT_SETTINGS)
    })?;
    if options.check_only {
        println!("settings are valid");
        return Err(ExitCode::SUCCESS);
    }
    let guard = log(&settings).open();
    Ok((settings, guard))
}

/// Runs `body` on the traffic threads.
fn block_on_threads(
    threads: usize,
    body: impl Future<Output = Result<(), ProcessError>>,
) -> ExitCode {
    let runtime = match Builder::new_multi_thread().worker_threads(threads).enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start the traffic threads: {error}");
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
pub(super) async fn stop_signal() {
    let (Ok(mut term), Ok(mut int)) =
        (signal_stream(SignalKind::terminate()), signal_stream(SignalKind::interrupt()))
    else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}

pub(super) fn signal_stream(kind: SignalKind) -> std::io::Result<Signal> {
    signal(kind)
}
