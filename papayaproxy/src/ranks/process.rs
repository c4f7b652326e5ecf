//! Starts, reloads and stops the agent of one rank for the daemon.

use super::agent::Agent;
use super::events;
use super::settings::RankSettings;
use crate::base::error::ProcessError;
use crate::base::name::Name;
use crate::base::supervise::restart_on_panic;
use std::net::SocketAddr;
use std::rc::Rc;
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
    /// Binds the address and starts the agent. Must be called on a `LocalSet`.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
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
        let stop = CancellationToken::new();
        let stopped = stop.clone();
        let (seeds, seed_updates) = watch::channel(Vec::new());
        let (name, socket) = (settings.name.clone(), Rc::new(socket));
        let run = move || Agent::new(socket.clone(), &settings).run(seed_updates.clone());
        tokio::task::spawn_local(async move {
            stopped.run_until_cancelled(restart_on_panic("agent", run)).await
        });
        Ok(Self { name, seeds, _stop: stop.drop_guard() })
    }

    /// Applies reloaded settings. Only the seeds can change in a running process.
    pub fn reload(&self, settings: &RankSettings) {
        self.seeds.send_replace(settings.seeds.clone());
        let seeds = settings.seeds.len();
        tracing::info!(event = events::AGENT_RELOADED, seeds, outcome = "taken", "reloaded");
    }

    /// Stops the agent. The next lead undoes a switch that is left incomplete.
    pub async fn stop(self) {
        tracing::info!(event = events::AGENT_STOPPED, name = %self.name, "stopped");
    }
}
