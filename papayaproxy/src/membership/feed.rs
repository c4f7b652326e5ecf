//! Read access to the fleet document and the live view.

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
    /// Document in force; generation 0 before the first.
    pub document: Arc<ArcSwap<Document>>,
    /// Live processes and the load of upstreams.
    pub view: Arc<ArcSwap<View>>,
    /// Increases with each new document or view.
    pub changed: watch::Receiver<u64>,
    /// Reports the generation of a peer; if it is newer, peers are queried for their versions.
    pub report_generation: Arc<dyn Fn(u64) + Send + Sync>,
    /// Whether the process may serve: it has the highest document it could obtain.
    pub ready: watch::Receiver<bool>,
    /// Time since the platform last confirmed the document in force, as far as is known.
    pub age: Arc<dyn Fn() -> Duration + Send + Sync>,
}

impl Feed {
    /// Creates the context of this process' links; their frames carry the document's generation.
    pub fn link_context(&self, identity: Identity, secrets: Secrets) -> Arc<LinkContext> {
        let report = self.report_generation.clone();
        let document = self.document.clone();
        let generation = Box::new(move || document.load().generation);
        let report = Box::new(move |generation| report(generation));
        Arc::new(LinkContext::new(identity, secrets, generation, report))
    }

    /// Whether the process may serve.
    pub fn is_ready(&self) -> bool {
        *self.ready.borrow()
    }

    /// Process status with the fields that the feed provides; the others have defaults.
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
