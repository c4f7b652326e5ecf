//! Pool of an entry's links to agents, one link per agent.

use super::codes;
use super::events;
use crate::base::code::Code;
use crate::base::name::Name;
use crate::wire::{Link, LinkContext, WireError};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

/// Link to one agent. The lock lets only one task at a time connect.
type Slot = Arc<tokio::sync::Mutex<Option<Link>>>;

/// Links by the agent's address.
pub(crate) struct Links {
    context: Arc<LinkContext>,
    open: Mutex<HashMap<SocketAddr, Link>>,
    slots: Mutex<HashMap<SocketAddr, Slot>>,
}

impl Links {
    pub(crate) fn new(context: Arc<LinkContext>) -> Self {
        Self { context, open: Mutex::default(), slots: Mutex::default() }
    }

    /// Returns the open link to the agent at `address`, or connects.
    ///
    /// # Errors
    /// The connection failed, or the agent serves another upstream than `upstream`. No call was sent.
    pub(crate) async fn get(&self, address: SocketAddr, upstream: &Name) -> Result<Link, Code> {
        let link = self.get_or_connect(address).await.map_err(|e| e.code())?;
        if link.peer().name == *upstream { Ok(link) } else { Err(codes::AGENT_FOREIGN) }
    }

    async fn get_or_connect(&self, address: SocketAddr) -> Result<Link, WireError> {
        if let Some(link) = self.find_open(address) {
            return Ok(link);
        }
        let slot = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        let slot = { slot }.entry(address).or_default().clone();
        let mut slot = slot.lock().await;
        if let Some(link) = slot.as_ref().filter(|l| !l.is_closed()) {
            return Ok(link.clone());
        }
        let link = self.connect(address).await?;
        *slot = Some(link.clone());
        self.open.lock().unwrap_or_else(PoisonError::into_inner).insert(address, link.clone());
        Ok(link)
    }

    /// Removes the link to `address` from the pool: it gets no new calls, those in progress continue.
    pub(crate) fn retire(&self, address: SocketAddr) {
        self.open.lock().unwrap_or_else(PoisonError::into_inner).remove(&address);
        self.slots.lock().unwrap_or_else(PoisonError::into_inner).remove(&address);
    }

    /// Forgets closed links and, among the open ones, those whose address `keep` rejects.
    pub(crate) fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.retain(|address, link| keep(address) && !link.is_closed());
    }

    fn find_open(&self, address: SocketAddr) -> Option<Link> {
        let open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.get(&address).filter(|l| !l.is_closed()).cloned()
    }

    async fn connect(&self, address: SocketAddr) -> Result<Link, WireError> {
        match Link::open(address, self.context.clone()).await {
            Ok(link) => {
                let agent = &link.peer().name;
                let incarnation = link.peer().incarnation;
                tracing::info!(event = events::LINK_OPENED, %address, %agent, %incarnation, "link opened");
                Ok(link)
            }
            Err(error) => {
                let code = error.code();
                tracing::warn!(event = events::LINK_FAILED, %address, %code, "{error}");
                Err(error)
            }
        }
    }
}
