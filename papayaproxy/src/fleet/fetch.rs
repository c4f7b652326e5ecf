//! Fetches changed chunks from a peer, one part per datagram.

use super::chunk::{CHUNKS, Chunks, read_manifest};
use super::constants::{PART_BYTES, REQUEST_ATTEMPTS_MAX, REQUEST_PARTS_MAX, REQUEST_TIMEOUT};
use super::version::Version;
use crate::base::constants::DOCUMENT_BYTES_MAX;
use crate::base::digest::Digest;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::Duration;

/// Chunk number of the manifest, which holds the digests of all chunks.
const MANIFEST: u16 = u16::MAX;

/// Maximum number of parts of one chunk.
const PARTS_MAX: usize = DOCUMENT_BYTES_MAX.div_ceil(PART_BYTES);

/// Identifies a part of a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ChunkPart {
    /// Number of the chunk, or `u16::MAX` for the manifest.
    pub chunk: u16,
    /// Index of the part within the chunk.
    pub index: u16,
}

/// Requests parts of a document from a peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChunkRequest {
    /// Version of the document.
    pub version: Version,
    /// The requested parts.
    pub parts: Vec<ChunkPart>,
}

/// The text of one part of a chunk, sent in one datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Chunk {
    /// Version of the document.
    pub version: Version,
    /// The part that it holds.
    pub part: ChunkPart,
    /// Number of parts of the chunk, at least one.
    pub part_count: u16,
    /// Text of the part.
    pub content: Bytes,
}

/// Returns the requested parts; none if the request is for another version.
pub fn answer(chunks: &Chunks, request: &ChunkRequest) -> Vec<Chunk> {
    if chunks.version != request.version {
        return Vec::new();
    }
    let parts = request.parts.iter().take(REQUEST_PARTS_MAX);
    parts.filter_map(|part| read_part(chunks, *part)).collect()
}

fn read_part(chunks: &Chunks, part: ChunkPart) -> Option<Chunk> {
    let text = match part.chunk {
        MANIFEST => chunks.manifest(),
        number => chunks.texts.get(usize::from(number))?.clone(),
    };
    let count = text.len().div_ceil(PART_BYTES).max(1);
    let from = usize::from(part.index) * PART_BYTES;
    if usize::from(part.index) >= count {
        return None;
    }
    let content = text.slice(from..text.len().min(from + PART_BYTES));
    Some(Chunk { version: chunks.version, part, part_count: count as u16, content })
}

/// State of a fetch after a part was accepted.
#[derive(Clone, Debug, PartialEq)]
pub enum Progress {
    /// Further requested parts are outstanding, or the part was ignored.
    Waiting,
    /// All requested parts arrived: the next ones are to be requested.
    RequestNext,
    /// The texts of all chunks are complete.
    Complete(Vec<Bytes>),
    /// The parts are inconsistent or fail their digest: fetch from another peer.
    Broken,
}

/// The parts of one chunk received so far.
#[derive(Default)]
struct Assembly {
    parts: Vec<Option<Bytes>>,
}

impl Assembly {
    fn insert(&mut self, chunk: &Chunk) -> bool {
        if usize::from(chunk.part_count) > PARTS_MAX {
            return false;
        }
        if self.parts.is_empty() {
            self.parts = vec![None; usize::from(chunk.part_count)];
        }
        let fits = self.parts.len() == usize::from(chunk.part_count);
        match self.parts.get_mut(usize::from(chunk.part.index)) {
            Some(slot) if fits => *slot = Some(chunk.content.clone()),
            _ => return false,
        }
        true
    }

    fn assembled(&self) -> Option<Bytes> {
        let parts: Option<Vec<&Bytes>> = self.parts.iter().map(Option::as_ref).collect();
        let parts = parts.filter(|p| !p.is_empty())?;
        Some(parts.into_iter().flat_map(|p| p.iter().copied()).collect())
    }

    fn missing(&self) -> Vec<u16> {
        if self.parts.is_empty() {
            return vec![0];
        }
        let open = self.parts.iter().enumerate().filter(|(_, p)| p.is_none());
        open.map(|(i, _)| i as u16).collect()
    }
}

/// A fetch of one document in progress.
pub struct Fetch {
    version: Version,
    known: HashMap<Digest, Bytes>,
    manifest: Assembly,
    digests: Option<Vec<Digest>>,
    texts: Vec<Option<Bytes>>,
    open: HashMap<u16, Assembly>,
    requested: Vec<ChunkPart>,
    requested_at: Duration,
    attempts: u32,
    received: usize,
}

impl Fetch {
    /// Starts a fetch of `version`; chunks that `own` already holds are not requested.
    pub fn start(version: Version, own: &Chunks) -> Self {
        let known = own.digests.iter().copied().zip(own.texts.iter().cloned()).collect();
        Self {
            version,
            known,
            manifest: Assembly::default(),
            digests: None,
            texts: vec![None; CHUNKS],
            open: HashMap::new(),
            requested: Vec::new(),
            requested_at: Duration::ZERO,
            attempts: 0,
            received: 0,
        }
    }

    /// Version of the fetched document.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Bytes of content received so far, including the manifest.
    pub fn received_bytes(&self) -> usize {
        self.received
    }

    /// Builds the request for the next parts and counts the attempt.
    pub fn next_request(&mut self, now: Duration) -> ChunkRequest {
        self.requested = self.next_parts();
        self.requested_at = now;
        self.attempts += 1;
        ChunkRequest { version: self.version, parts: self.requested.clone() }
    }

    /// Whether the last request has timed out.
    pub fn is_overdue(&self, now: Duration) -> bool {
        now >= self.requested_at + REQUEST_TIMEOUT
    }

    /// Whether the peer has left too many requests in a row unanswered.
    pub fn has_failed(&self, now: Duration) -> bool {
        self.attempts >= REQUEST_ATTEMPTS_MAX && self.is_overdue(now)
    }

    /// Processes a received part; ignores one that was not requested.
    pub fn accept(&mut self, chunk: &Chunk) -> Progress {
        let Some(at) = self.requested.iter().position(|p| *p == chunk.part) else {
            return Progress::Waiting;
        };
        if chunk.version != self.version {
            return Progress::Waiting;
        }
        self.requested.swap_remove(at);
        self.attempts = 0;
        self.received += chunk.content.len();
        let fits = match chunk.part.chunk {
            MANIFEST => self.accept_manifest(chunk),
            number => self.accept_chunk(number, chunk),
        };
        if !fits {
            return Progress::Broken;
        }
        if self.digests.is_some() && self.texts.iter().all(Option::is_some) {
            return Progress::Complete(self.texts.iter().flatten().cloned().collect());
        }
        if self.requested.is_empty() { Progress::RequestNext } else { Progress::Waiting }
    }

    fn accept_manifest(&mut self, chunk: &Chunk) -> bool {
        if !self.manifest.insert(chunk) {
            return false;
        }
        let Some(whole) = self.manifest.assembled() else { return true };
        let Some(digests) = read_manifest(&whole) else { return false };
        for (text, digest) in self.texts.iter_mut().zip(&digests) {
            *text = self.known.get(digest).cloned();
        }
        self.digests = Some(digests);
        true
    }

    fn accept_chunk(&mut self, number: u16, chunk: &Chunk) -> bool {
        let expected = self.digests.as_ref().and_then(|d| d.get(usize::from(number)));
        let Some(expected) = expected.copied() else { return false };
        let assembly = self.open.entry(number).or_default();
        if !assembly.insert(chunk) {
            return false;
        }
        let Some(whole) = assembly.assembled() else { return true };
        let fits = Digest::of(&whole) == expected;
        self.texts[usize::from(number)] = fits.then_some(whole);
        fits
    }

    /// The missing parts, those of partly received chunks first.
    fn next_parts(&self) -> Vec<ChunkPart> {
        let part = |chunk: u16| move |index: u16| ChunkPart { chunk, index };
        if self.digests.is_none() {
            return self.manifest.missing().into_iter().map(part(MANIFEST)).collect();
        }
        let empty = Assembly::default();
        let missing = self.texts.iter().enumerate().filter(|(_, t)| t.is_none());
        let mut numbers: Vec<u16> = missing.map(|(i, _)| i as u16).collect();
        numbers.sort_by_key(|n| !self.open.contains_key(n));
        let parts = numbers.into_iter().flat_map(|n| {
            let assembly = self.open.get(&n).unwrap_or(&empty);
            assembly.missing().into_iter().map(part(n))
        });
        parts.take(REQUEST_PARTS_MAX).collect()
    }
}
