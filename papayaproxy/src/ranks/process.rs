//! The running agent of one rank, as the daemon holds it.

use super::agent::Agent;
use super::events;
use super::settings::RankSettings;
use crate::base::error::ProcessError;
use crate::base::name::Name;
use std::net::SocketAddr;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio_util::sync::{CancellationToken, DropGuard};

/// A running agent.
pub struct RankAgent {
    name: Name,
    seeds: watch::Sender<Vec<SocketAddr>>,
    _stop: DropGuard,
}

impl RankAgent {
    /// Binds the address and starts the agent. Runs on the thread's `LocalSet`.
    ///
    /// # Errors
    /// An address that cannot be bound.
    pub async fn open(settings: RankSettings) -> Result<Self, ProcessError> {
        let address = settings.address;
        let socket = UdpSocket::bind(address)
            .await
            .map_err(|source| ProcessError::Listen { address, source })?;
        tracing::info!(
            event = events::AGENT_STARTED,
            name = %settings.name,
            zone = %settings.zone,
            replica = %settings.replica,
            %address,
            "open"
        );
        let agent = Agent::new(socket, &settings);
        let stop = CancellationToken::new();
        let stopped = stop.clone();
        let (seeds, changed) = watch::channel(Vec::new());
        tokio::task::spawn_local(
            async move { stopped.run_until_cancelled(agent.run(changed)).await },
        );
        Ok(Self { name: settings.name, seeds, _stop: stop.drop_guard() })
    }

    /// Takes changed settings. Only the seeds can change in a running process.
    pub fn reload(&self, settings: &RankSettings) {
        self.seeds.send_replace(settings.seeds.clone());
        let seeds = settings.seeds.len();
        tracing::info!(event = events::AGENT_RELOADED, seeds, outcome = "taken", "reloaded");
    }

    /// Ends the agent. What it leaves half done, the next lead undoes.
    pub async fn stop(self) {
        tracing::info!(event = events::AGENT_STOPPED, name = %self.name, "stopped");
    }
}
