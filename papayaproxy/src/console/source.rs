//! Reads the document in force and the status of the processes.

use super::codes;
use super::constants::RECENT_MAX;
use super::error::PageError;
use crate::base::digest::Digest;
use crate::ctl::{Survey, fetch, survey};
use crate::fleet::{Document, parse};
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

/// Path of the published document.
const DOCUMENT_PATH: &str = "/v1/config/fleet";

/// Reads the platform and the processes; keeps recent documents as bases for merging drafts.
pub(crate) struct Source {
    platform: SocketAddr,
    processes: Vec<SocketAddr>,
    recent: Mutex<IndexMap<Digest, Arc<Document>>>,
}

impl Source {
    pub(crate) fn new(platform: SocketAddr, processes: Vec<SocketAddr>) -> Self {
        Self { platform, processes, recent: Mutex::default() }
    }

    /// The document that the platform serves.
    pub(crate) async fn current(&self) -> Result<Arc<Document>, PageError> {
        let unreachable = |e: String| PageError::new(codes::DOCUMENT_UNREACHABLE, e);
        let body = fetch(self.platform, DOCUMENT_PATH).await;
        let body = body.map_err(|e| unreachable(e.to_string()))?;
        let text = std::str::from_utf8(&body).map_err(|e| unreachable(e.to_string()))?;
        let document = parse(text).map_err(|e| unreachable(e.to_string()))?;
        Ok(self.remember(document))
    }

    /// A recently read document; `None` if it was never read or is no longer kept.
    pub(crate) fn recent(&self, digest: Digest) -> Option<Arc<Document>> {
        let recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        recent.get(&digest).cloned()
    }

    /// Queries the status of every process.
    pub(crate) async fn survey(&self) -> Survey {
        survey(&self.processes).await
    }

    fn remember(&self, document: Document) -> Arc<Document> {
        let mut recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        let digest = document.digest;
        let kept = recent.entry(digest).or_insert_with(|| Arc::new(document)).clone();
        let excess = recent.len().saturating_sub(RECENT_MAX);
        recent.drain(..excess);
        kept
    }
}
