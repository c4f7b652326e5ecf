//! The document in force and how it is replaced: by the platform's answers and peers' chunks.

use super::members::{Announcement, DocumentStatus};
use crate::fleet::events;
use crate::fleet::{
    Ask, Chunks, Document, Fetch, Heard, Order, Piece, Progress, Verdict, Version, answer, parse,
    rebuild,
};
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Peers whose newer documents are remembered.
const SOURCES_MAX: usize = 32;

/// An ask and the peer that it goes to.
pub(crate) struct Asking {
    pub(crate) to: SocketAddr,
    pub(crate) ask: Ask,
}

struct Active {
    fetch: Fetch,
    peer: SocketAddr,
}

/// The document in force, and the fetch of a newer one.
pub(crate) struct Spread {
    order: Order,
    document: Arc<Document>,
    chunks: Chunks,
    confirmed: Duration,
    /// Version of the platform's last answer.
    platform: Option<Version>,
    /// Peers that have announced a newer document.
    sources: IndexMap<SocketAddr, Announcement>,
    active: Option<Active>,
}

impl Spread {
    /// Starts without a document.
    pub(crate) fn new(now: Duration) -> Self {
        Self {
            order: Order::default(),
            document: Arc::default(),
            chunks: Chunks::default(),
            confirmed: now,
            platform: None,
            sources: IndexMap::new(),
            active: None,
        }
    }

    /// The document in force.
    pub(crate) fn document(&self) -> Arc<Document> {
        self.document.clone()
    }

    /// Its version.
    pub(crate) fn version(&self) -> Option<Version> {
        self.order.in_force()
    }

    /// When the platform last confirmed it to anyone, as far as this process knows.
    pub(crate) fn confirmed(&self) -> Duration {
        self.confirmed
    }

    /// Whether a newer document is known of.
    pub(crate) fn is_behind(&self) -> bool {
        self.order.is_behind()
    }

    /// What this process tells its peers.
    pub(crate) fn standing(&self, now: Duration) -> DocumentStatus {
        // Rounded up, so that an age never shrinks while it passes from peer to peer.
        let age = now.saturating_sub(self.confirmed).as_secs_f64().ceil() as u32;
        DocumentStatus { version: self.order.in_force(), age }
    }

    /// Takes a text in that the platform gave.
    pub(crate) fn read(&mut self, now: Duration, text: &str) {
        match parse(text) {
            Ok(document) => {
                self.platform = Some(document.version());
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

    /// The platform's document has not changed.
    pub(crate) fn confirm_unchanged(&mut self, now: Duration) {
        if self.platform.is_some() && self.platform == self.order.in_force() {
            self.confirmed = now;
        }
    }

    /// Takes note of a peer's document, and asks for it where it is newer.
    pub(crate) fn hear(&mut self, now: Duration, announced: Announcement) -> Option<Asking> {
        match self.order.hear(announced.version) {
            Heard::Older => None,
            Heard::Current => {
                let age = Duration::from_secs(announced.age.into());
                self.confirmed = self.confirmed.max(now.saturating_sub(age));
                None
            }
            Heard::Newer => {
                if self.sources.len() < SOURCES_MAX {
                    self.sources.insert(announced.address, announced);
                }
                let fetching = self.active.as_ref().map(|a| a.fetch.version());
                if fetching >= Some(announced.version) {
                    return None;
                }
                Some(self.start(now, announced))
            }
        }
    }

    /// Asks again where pieces are overdue, or turns to another peer.
    pub(crate) fn retry(&mut self, now: Duration) -> Option<Asking> {
        let active = self.active.as_mut()?;
        if active.fetch.is_hopeless(now) {
            return self.turn(now, "no answer");
        }
        let overdue = active.fetch.is_overdue(now);
        overdue.then(|| Asking { to: active.peer, ask: active.fetch.ask(now) })
    }

    /// The pieces that a peer asks for.
    pub(crate) fn answer(&self, ask: &Ask) -> Vec<Piece> {
        answer(&self.chunks, ask)
    }

    /// Takes a piece in.
    pub(crate) fn take(
        &mut self,
        now: Duration,
        from: SocketAddr,
        piece: &Piece,
    ) -> Option<Asking> {
        let active = self.active.as_mut().filter(|a| a.peer == from)?;
        match active.fetch.take(piece) {
            Progress::Waiting => None,
            Progress::AskNext => Some(Asking { to: from, ask: active.fetch.ask(now) }),
            Progress::Broken => self.turn(now, "contradictory pieces"),
            Progress::Complete(texts) => {
                let version = active.fetch.version();
                let age = self.sources.get(&from).map_or(0, |s| s.age);
                let age = Duration::from_secs(age.into());
                let taken = rebuild(&texts)
                    .is_ok_and(|document| self.offer(now, document, Some(version), "peer", age));
                if !taken {
                    return self.turn(now, "not the announced document");
                }
                self.active = None;
                self.sources.retain(|_, s| Some(s.version) > self.order.in_force());
                let next = self.sources.values().max_by_key(|s| s.version).copied();
                next.map(|s| self.start(now, s))
            }
        }
    }

    fn start(&mut self, now: Duration, source: Announcement) -> Asking {
        let mut fetch = Fetch::start(source.version, &self.chunks);
        let ask = fetch.ask(now);
        let generation = source.version.generation;
        tracing::debug!(event = events::FETCH_STARTED, generation, peer = %source.address, "fetch");
        self.active = Some(Active { fetch, peer: source.address });
        Asking { to: source.address, ask }
    }

    /// Gives the present peer up and turns to the next that has a newer document.
    fn turn(&mut self, now: Duration, reason: &str) -> Option<Asking> {
        let active = self.active.take()?;
        let generation = active.fetch.version().generation;
        tracing::warn!(event = events::FETCH_FAILED, generation, peer = %active.peer, reason, "fetch");
        self.sources.shift_remove(&active.peer);
        self.sources.retain(|_, s| Some(s.version) > self.order.in_force());
        let next = self.sources.values().max_by_key(|s| (s.near, s.version)).copied();
        if next.is_none() {
            self.order.give_up();
        }
        next.map(|s| self.start(now, s))
    }

    /// Offers a document to the order; true where it is in force afterwards.
    fn offer(
        &mut self,
        now: Duration,
        document: Document,
        announced: Option<Version>,
        source: &str,
        age: Duration,
    ) -> bool {
        let version = document.version();
        let verdict = self.order.offer(announced, version);
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
            Verdict::Taken { replaced, race } => {
                if race {
                    tracing::error!(event = events::DOCUMENT_RACE, generation, %digest, "race");
                }
                let replaced = replaced.map(|v| v.generation);
                let bytes = self.active.as_ref().map_or(0, |a| a.fetch.fetched());
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
