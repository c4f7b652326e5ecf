//! Runs an entry that forwards directly to upstreams on one thread, with its signals and reloads.

use super::command::Options;
use super::run::{signal_stream, start_log};
use crate::base::error::ProcessError;
use crate::gateway::{Gateway, GatewaySettings};
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, SystemTime};
use tokio::runtime::Builder;
use tokio::signal::unix::SignalKind;
use tokio::task::LocalSet;

/// Interval at which the settings file is checked for changes, which may come without a signal.
const FILE_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Runs the entry with the settings given by `options`.
pub(crate) fn run_gateway(options: &Options) -> ExitCode {
    let settings = GatewaySettings::open(options.settings.as_deref(), &options.overrides);
    let (settings, _log) = match start_log(settings, options, |s| &s.log) {
        Ok(accepted) => accepted,
        Err(exit) => return exit,
    };
    block_on_local(serve(settings, options))
}

/// Runs a daemon on one thread.
pub(super) fn block_on_local(body: impl Future<Output = Result<(), ProcessError>>) -> ExitCode {
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            tracing::error!(%error, "cannot start the runtime");
            return ExitCode::FAILURE;
        }
    };
    match LocalSet::new().block_on(&runtime, body) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(code = %error.code(), "{error}");
            ExitCode::FAILURE
        }
    }
}

async fn serve(settings: GatewaySettings, options: &Options) -> Result<(), ProcessError> {
    let control_error = |source| ProcessError::Control { source };
    let mut term = signal_stream(SignalKind::terminate()).map_err(control_error)?;
    let mut int = signal_stream(SignalKind::interrupt()).map_err(control_error)?;
    let mut hup = signal_stream(SignalKind::hangup()).map_err(control_error)?;
    let gateway = Gateway::open(settings).await?;
    let mut last_modified = options.settings.as_deref().and_then(modified_at);
    loop {
        let hangup = tokio::select! {
            _ = term.recv() => break,
            _ = int.recv() => break,
            _ = hup.recv() => true,
            () = tokio::time::sleep(FILE_CHECK_INTERVAL) => false,
        };
        let modified = options.settings.as_deref().and_then(modified_at);
        if hangup || modified != last_modified {
            last_modified = modified;
            reload(&gateway, options);
        }
    }
    gateway.stop().await;
    Ok(())
}

fn reload(gateway: &Gateway, options: &Options) {
    match GatewaySettings::open(options.settings.as_deref(), &options.overrides) {
        Ok(settings) => gateway.reload(&settings),
        // The settings in force remain.
        Err(error) => {
            tracing::error!(%error, "changed settings are invalid; keeping the settings in force");
        }
    }
}

fn modified_at(file: &Path) -> Option<SystemTime> {
    std::fs::metadata(file).and_then(|m| m.modified()).ok()
}
