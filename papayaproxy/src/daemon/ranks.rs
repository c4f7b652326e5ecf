//! Runs the agent of a lock-step group's rank on one thread, with its signals and reloads.

use super::command::Options;
use super::gateway::block_on_local;
use super::run::{signal_stream, start_log, stop_signal};
use crate::base::error::ProcessError;
use crate::ranks::{RankAgent, RankSettings};
use std::process::ExitCode;
use tokio::signal::unix::SignalKind;

/// Runs the agent with the settings given by `options`.
pub(crate) fn run_ranks(options: &Options) -> ExitCode {
    let settings = RankSettings::open(options.settings.as_deref(), &options.overrides);
    let (settings, _log) = match start_log(settings, options, |s| &s.log) {
        Ok(accepted) => accepted,
        Err(exit) => return exit,
    };
    block_on_local(async {
        let mut hup = signal_stream(SignalKind::hangup())
            .map_err(|source| ProcessError::Control { source })?;
        let agent = RankAgent::open(settings).await?;
        let mut stop = std::pin::pin!(stop_signal());
        loop {
            tokio::select! {
                () = stop.as_mut() => break,
                _ = hup.recv() => reload(&agent, options),
            }
        }
        agent.stop().await;
        Ok(())
    })
}

fn reload(agent: &RankAgent, options: &Options) {
    match RankSettings::open(options.settings.as_deref(), &options.overrides) {
        Ok(settings) => agent.reload(&settings),
        // The settings in force remain.
        Err(error) => {
            tracing::error!(%error, "changed settings are invalid; keeping the settings in force");
        }
    }
}
