//! Runs an agent that gives its own rank's orders: one thread and its signals.

use super::command::Options;
use super::gateway::block_on_local;
use super::run::{accept, on, stopped};
use crate::base::error::ProcessError;
use crate::ranks::{RankAgent, RankSettings};
use std::process::ExitCode;
use tokio::signal::unix::SignalKind;

/// Runs the agent with the settings that `options` name.
pub(crate) fn run_ranks(options: &Options) -> ExitCode {
    let settings = RankSettings::open(options.settings.as_deref(), &options.overrides);
    let (settings, _log) = match accept(settings, options, |s| &s.log) {
        Ok(accepted) => accepted,
        Err(exit) => return exit,
    };
    block_on_local(async {
        let mut hup =
            on(SignalKind::hangup()).map_err(|source| ProcessError::Control { source })?;
        let agent = RankAgent::open(settings).await?;
        let mut stop = std::pin::pin!(stopped());
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
        // What is in force stays in force.
        Err(error) => tracing::error!(%error, "changed settings are wrong and not taken"),
    }
}
