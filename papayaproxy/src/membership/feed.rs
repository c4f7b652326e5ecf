//! What a process knows of the fleet, as its other slices read it.

use super::view::View;
use crate::base::name::Name;
use crate::fleet::Document;
use crate::telemetry::Status;
use crate::wire::{Identity, LinkContext, Secrets};
use arc_swap::ArcSwap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Read-only snapshots of the fleet document and of the live view.
#[derive(Clone)]
pub struct Feed {
    /// The document in force; generation 0 before the first.
    pub document: Arc<ArcSwap<Document>>,
    /// The live view.
    pub view: Arc<ArcSwap<View>>,
    /// Changes with each new document or view.
    pub changed: watch::Receiver<u64>,
    /// Receives the generation of a peer that has a newer document.
    pub newer: Arc<dyn Fn(u64) + Send + Sync>,
    /// Whether the process may serve: its document is the highest that it could learn of.
    pub ready: watch::Receiver<bool>,
    /// Gives the time since the document in force was last confirmed.
    pub age: Arc<dyn Fn() -> Duration + Send + Sync>,
}

impl Feed {
    /// Makes the context of a process' links; frames carry the generation of this feed.
    pub fn link_context(&self, identity: Identity, secrets: Secrets) -> Arc<LinkContext> {
        let newer = self.newer.clone();
        let document = self.document.clone();
        let generation = Box::new(move || document.load().generation);
        let newer = Box::new(move |generation| newer(generation));
        Arc::new(LinkContext::new(identity, secrets, generation, newer))
    }

    /// Whether the process may serve.
    pub fn is_ready(&self) -> bool {
        *self.ready.borrow()
    }

    /// The part of a process' status that the feed knows.
    pub fn status(&self, identity: &Identity, zone: &Name) -> Status {
        let document = self.document.load();
        let view = self.view.load();
        Status {
            name: identity.name.to_string(),
            zone: zone.to_string(),
            incarnation: identity.incarnation.to_string(),
            generation: document.generation,
            digest: document.digest.to_string(),
            document_age: (self.age)().as_secs_f64(),
            peers: view.peers,
            upstreams: view.upstreams.values().filter(|u| u.live).count() as u64,
            ..Status::default()
        }
    }
}
