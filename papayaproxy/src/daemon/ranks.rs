//! Runs an agent that gives its own rank's orders: one thread and its signals.

use super::command::Options;
use super::gateway::block_on_local;
use super::run::{accept, stopped};
use crate::ranks::{RankAgent, RankSettings};
use std::process::ExitCode;

/// Runs the agent with the settings that `options` name.
pub(crate) fn run_ranks(options: &Options) -> ExitCode {
    let settings = RankSettings::open(options.settings.as_deref(), &options.overrides);
    let (settings, _log) = match accept(settings, options, |s| &s.log) {
        Ok(accepted) => accepted,
        Err(exit) => return exit,
    };
    block_on_local(async {
        let agent = RankAgent::open(settings).await?;
        stopped().await;
        agent.stop().await;
        Ok(())
    })
}
