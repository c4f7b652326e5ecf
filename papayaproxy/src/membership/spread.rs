//! Replication of the fleet document: reads from the platform and fetches from peers.

use super::members::{Announcement, DocumentStatus};
use crate::fleet::events;
use crate::fleet::{
    Chunk, ChunkRequest, Chunks, Document, Fetch, Progress, Verdict, Version, VersionAge,
    VersionTracker, answer, parse, rebuild,
};
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Most peers that are kept as sources of a newer document.
const SOURCES_MAX: usize = 32;

/// A chunk request and its destination.
pub(crate) struct OutgoingRequest {
    pub(crate) to: SocketAddr,
    pub(crate) request: ChunkRequest,
}

struct ActiveFetch {
    fetch: Fetch,
    peer: SocketAddr,
}

/// The document in force and the fetch of a newer one.
pub(crate) struct DocumentSync {
    order: VersionTracker,
    document: Arc<Document>,
    chunks: Chunks,
    /// When the platform last confirmed the document to any process, as far as is known.
    confirmed: Duration,
    /// Version that the platform last returned.
    platform_version: Option<Version>,
    /// Peers that have announced a newer document.
    sources: IndexMap<SocketAddr, Announcement>,
    active: Option<ActiveFetch>,
}

impl DocumentSync {
    /// Starts without a document.
    pub(crate) fn new(now: Duration) -> Self {
        Self {
            order: VersionTracker::default(),
            document: Arc::default(),
            chunks: Chunks::default(),
            confirmed: now,
            platform_version: None,
            sources: IndexMap::new(),
            active: None,
        }
    }

    /// Document in force; generation 0 before the first.
    pub(crate) fn document(&self) -> Arc<Document> {
        self.document.clone()
    }

    /// Version of the document in force; `None` before the first.
    pub(crate) fn version(&self) -> Option<Version> {
        self.order.in_force()
    }

    /// When the platform last confirmed the document to any process, as far as is known.
    pub(crate) fn confirmed(&self) -> Duration {
        self.confirmed
    }

    /// Whether a newer document has been announced.
    pub(crate) fn is_behind(&self) -> bool {
        self.order.is_behind()
    }

    /// Version and age for heartbeats.
    pub(crate) fn status(&self, now: Duration) -> DocumentStatus {
        // Rounded up, so that the age does not shrink when peers relay it.
        let age = now.saturating_sub(self.confirmed).as_secs_f64().ceil() as u32;
        DocumentStatus { version: self.order.in_force(), age }
    }

    /// Applies a document received from the platform.
    pub(crate) fn apply_platform_text(&mut self, now: Duration, text: &str) {
        match parse(text) {
            Ok(document) => {
                self.platform_version = Some(document.version());
                self.offer(now, document, None, "platform", Duration::ZERO);
            }
            Err(error) => {
                let code = error.code();
                let detail = error.problems.first().map(ToString::to_string);
                tracing::error!(event = events::DOCUMENT_REFUSED, %code, source = "platform",
                    count = error.problems.len(), detail, "document refused");
            }
        }
    }

    /// Records that the platform's document is unchanged.
    pub(crate) fn confirm_unchanged(&mut self, now: Duration) {
        if self.platform_version.is_some() && self.platform_version == self.order.in_force() {
            self.confirmed = now;
        }
    }

    /// Records the document of a peer, and starts to fetch it if it is newer.
    pub(crate) fn note_announcement(
        &mut self,
        now: Duration,
        announcement: Announcement,
    ) -> Option<OutgoingRequest> {
        match self.order.record_announced(announcement.version) {
            VersionAge::Older => None,
            VersionAge::Current => {
                let age = Duration::from_secs(announcement.age.into());
                self.confirmed = self.confirmed.max(now.saturating_sub(age));
                None
            }
            VersionAge::Newer => {
                if self.sources.len() < SOURCES_MAX {
                    self.sources.insert(announcement.address, announcement);
                }
                let fetching = self.active.as_ref().map(|a| a.fetch.version());
                if fetching >= Some(announcement.version) {
                    return None;
                }
                Some(self.start_fetch(now, announcement))
            }
        }
    }

    /// Repeats an overdue chunk request, or switches to another peer after too many.
    pub(crate) fn retry(&mut self, now: Duration) -> Option<OutgoingRequest> {
        let active = self.active.as_mut()?;
        if active.fetch.has_failed(now) {
            return self.next_source(now, "no answer");
        }
        let overdue = active.fetch.is_overdue(now);
        overdue
            .then(|| OutgoingRequest { to: active.peer, request: active.fetch.next_request(now) })
    }

    /// Chunks for a peer's request; none if it is for another version.
    pub(crate) fn chunks_for(&self, request: &ChunkRequest) -> Vec<Chunk> {
        answer(&self.chunks, request)
    }

    /// Processes a chunk from a peer; the result is the next request, if one is due.
    pub(crate) fn receive_chunk(
        &mut self,
        now: Duration,
        from: SocketAddr,
        chunk: &Chunk,
    ) -> Option<OutgoingRequest> {
        let active = self.active.as_mut().filter(|a| a.peer == from)?;
        match active.fetch.accept(chunk) {
            Progress::Waiting => None,
            Progress::RequestNext => {
                Some(OutgoingRequest { to: from, request: active.fetch.next_request(now) })
            }
            Progress::Broken => self.next_source(now, "contradictory pieces"),
            Progress::Complete(texts) => {
                let version = active.fetch.version();
                let age = self.sources.get(&from).map_or(0, |s| s.age);
                let age = Duration::from_secs(age.into());
                let is_taken = rebuild(&texts)
                    .is_ok_and(|document| self.offer(now, document, Some(version), "peer", age));
                if !is_taken {
                    return self.next_source(now, "not the announced document");
                }
                self.active = None;
                self.sources.retain(|_, s| Some(s.version) > self.order.in_force());
                let next = self.sources.values().max_by_key(|s| s.version).copied();
                next.map(|s| self.start_fetch(now, s))
            }
        }
    }

    fn start_fetch(&mut self, now: Duration, source: Announcement) -> OutgoingRequest {
        let mut fetch = Fetch::start(source.version, &self.chunks);
        let request = fetch.next_request(now);
        let generation = source.version.generation;
        tracing::debug!(event = events::FETCH_STARTED, generation, peer = %source.address,
            "document fetch started");
        self.active = Some(ActiveFetch { fetch, peer: source.address });
        OutgoingRequest { to: source.address, request }
    }

    /// Abandons the current source and starts to fetch from the next one, if any.
    fn next_source(&mut self, now: Duration, reason: &str) -> Option<OutgoingRequest> {
        let active = self.active.take()?;
        let generation = active.fetch.version().generation;
        tracing::warn!(event = events::FETCH_FAILED, generation, peer = %active.peer, reason,
            "document fetch failed");
        self.sources.shift_remove(&active.peer);
        self.sources.retain(|_, s| Some(s.version) > self.order.in_force());
        let next = self.sources.values().max_by_key(|s| (s.same_zone, s.version)).copied();
        if next.is_none() {
            self.order.forget_announced();
        }
        next.map(|s| self.start_fetch(now, s))
    }

    /// Puts a document in force if it is newer. Returns whether it is in force afterwards.
    ///
    /// `expected` is the version that a peer announced; `age` is the time since its confirmation.
    fn offer(
        &mut self,
        now: Duration,
        document: Document,
        expected: Option<Version>,
        source: &str,
        age: Duration,
    ) -> bool {
        let version = document.version();
        let verdict = self.order.offer(expected, version);
        let (generation, digest) = (version.generation, version.digest);
        match verdict {
            Verdict::Confirmed => {
                self.confirmed = self.confirmed.max(now.saturating_sub(age));
                true
            }
            Verdict::Refused { code } => {
                tracing::warn!(event = events::DOCUMENT_REFUSED, %code, source, generation,
                    detail = %version, "document refused");
                false
            }
            Verdict::Accepted { replaced, race } => {
                if race {
                    tracing::error!(event = events::DOCUMENT_RACE, generation, %digest,
                        "two documents have the same generation");
                }
                let replaced = replaced.map(|v| v.generation);
                let bytes = self.active.as_ref().map_or(0, |a| a.fetch.received_bytes());
                tracing::info!(event = events::DOCUMENT_TAKEN, generation, %digest, replaced,
                    source, bytes, "document in force");
                self.confirmed = now.saturating_sub(age);
                self.chunks = Chunks::of(&document);
                self.document = Arc::new(document);
                true
            }
        }
    }
}
