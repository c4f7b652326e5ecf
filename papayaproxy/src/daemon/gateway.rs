//! Runs an entry that forwards straight to upstreams: one thread, its signals and its settings.

use super::command::Options;
use super::run::{accept, on};
use crate::base::error::ProcessError;
use crate::gateway::{Gateway, GatewaySettings};
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, SystemTime};
use tokio::runtime::Builder;
use tokio::signal::unix::SignalKind;
use tokio::task::LocalSet;

/// Pause between two looks at the settings file, which may change without a signal.
const FILE_INTERVAL: Duration = Duration::from_secs(2);

/// Runs the entry with the settings that `options` name.
pub(crate) fn run_gateway(options: &Options) -> ExitCode {
    let settings = GatewaySettings::open(options.settings.as_deref(), &options.overrides);
    let (settings, _log) = match accept(settings, options, |s| &s.log) {
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
    let signals = |source| ProcessError::Control { source };
    let mut term = on(SignalKind::terminate()).map_err(signals)?;
    let mut int = on(SignalKind::interrupt()).map_err(signals)?;
    let mut hup = on(SignalKind::hangup()).map_err(signals)?;
    let gateway = Gateway::open(settings).await?;
    let mut changed = options.settings.as_deref().and_then(changed_at);
    loop {
        let asked = tokio::select! {
            _ = term.recv() => break,
            _ = int.recv() => break,
            _ = hup.recv() => true,
            () = tokio::time::sleep(FILE_INTERVAL) => false,
        };
        let now = options.settings.as_deref().and_then(changed_at);
        if asked || now != changed {
            changed = now;
            reload(&gateway, options);
        }
    }
    gateway.stop().await;
    Ok(())
}

fn reload(gateway: &Gateway, options: &Options) {
    match GatewaySettings::open(options.settings.as_deref(), &options.overrides) {
        Ok(settings) => gateway.reload(&settings),
        // What is in force stays in force.
        Err(error) => tracing::error!(%error, "changed settings are wrong and not taken"),
    }
}

fn changed_at(file: &Path) -> Option<SystemTime> {
    std::fs::metadata(file).and_then(|m| m.modified()).ok()
}
