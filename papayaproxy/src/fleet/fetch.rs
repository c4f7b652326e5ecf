//! Fetches the chunks that differ from a peer, piece by piece over datagrams.

use super::chunk::{CHUNKS, Chunks, read_manifest};
use super::constants::{ASK_TIMEOUT, ASK_TRIES, ASK_WINDOW, PIECE_BYTES};
use super::version::Version;
use crate::base::constants::DOCUMENT_BYTES_MAX;
use crate::base::digest::Digest;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::Duration;

/// The chunk number that stands for the digests of all chunks.
const MANIFEST: u16 = u16::MAX;

/// Most pieces of one chunk.
const PARTS_MAX: usize = DOCUMENT_BYTES_MAX.div_ceil(PIECE_BYTES);

/// One piece of one chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Want {
    /// Number of the chunk.
    pub chunk: u16,
    /// Number of the piece within the chunk.
    pub part: u16,
}

/// Asks a peer for pieces of a document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// The document.
    pub version: Version,
    /// The pieces.
    pub wants: Vec<Want>,
}

/// A piece of a chunk's text.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Piece {
    /// The document.
    pub version: Version,
    /// Which piece it is.
    pub want: Want,
    /// Pieces of the chunk.
    pub parts: u16,
    /// The text.
    pub content: Bytes,
}

/// Answers an ask from the document in force; nothing where another version is asked for.
pub fn answer(chunks: &Chunks, ask: &Ask) -> Vec<Piece> {
    if chunks.version != ask.version {
        return Vec::new();
    }
    let wants = ask.wants.iter().take(ASK_WINDOW);
    wants.filter_map(|want| piece(chunks, *want)).collect()
}

fn piece(chunks: &Chunks, want: Want) -> Option<Piece> {
    let text = match want.chunk {
        MANIFEST => chunks.manifest(),
        number => chunks.texts.get(usize::from(number))?.clone(),
    };
    let parts = text.len().div_ceil(PIECE_BYTES).max(1);
    let from = usize::from(want.part) * PIECE_BYTES;
    if usize::from(want.part) >= parts {
        return None;
    }
    let content = text.slice(from..text.len().min(from + PIECE_BYTES));
    Some(Piece { version: chunks.version, want, parts: parts as u16, content })
}

/// What a piece has brought about.
#[derive(Clone, Debug, PartialEq)]
pub enum Progress {
    /// More pieces are awaited.
    Waiting,
    /// Ask for the next pieces now.
    AskNext,
    /// The texts of all chunks are here.
    Complete(Vec<Bytes>),
    /// The peer's pieces contradict each other: turn to another.
    Broken,
}

/// Pieces of one chunk.
#[derive(Default)]
struct Assembly {
    parts: Vec<Option<Bytes>>,
}

impl Assembly {
    fn put(&mut self, piece: &Piece) -> bool {
        if usize::from(piece.parts) > PARTS_MAX {
            return false;
        }
        if self.parts.is_empty() {
            self.parts = vec![None; usize::from(piece.parts)];
        }
        let fits = self.parts.len() == usize::from(piece.parts);
        match self.parts.get_mut(usize::from(piece.want.part)) {
            Some(slot) if fits => *slot = Some(piece.content.clone()),
            _ => return false,
        }
        true
    }

    fn whole(&self) -> Option<Bytes> {
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
    asked: Vec<Want>,
    asked_at: Duration,
    tries: u32,
    fetched: usize,
}

impl Fetch {
    /// Starts to fetch `version`, with the chunks of the document in force at hand.
    pub fn start(version: Version, own: &Chunks) -> Self {
        let known = own.digests.iter().copied().zip(own.texts.iter().cloned()).collect();
        Self {
            version,
            known,
            manifest: Assembly::default(),
            digests: None,
            texts: vec![None; CHUNKS],
            open: HashMap::new(),
            asked: Vec::new(),
            asked_at: Duration::ZERO,
            tries: 0,
            fetched: 0,
        }
    }

    /// The document that is fetched.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Bytes of text that were received.
    pub fn fetched(&self) -> usize {
        self.fetched
    }

    /// Asks for the next pieces.
    pub fn ask(&mut self, now: Duration) -> Ask {
        self.asked = self.next_wants();
        self.asked_at = now;
        self.tries += 1;
        Ask { version: self.version, wants: self.asked.clone() }
    }

    /// Tells whether the last ask has waited too long.
    pub fn is_overdue(&self, now: Duration) -> bool {
        now >= self.asked_at + ASK_TIMEOUT
    }

    /// Tells whether the peer has left too many asks without an answer.
    pub fn is_hopeless(&self, now: Duration) -> bool {
        self.tries >= ASK_TRIES && self.is_overdue(now)
    }

    /// Takes a piece in.
    pub fn take(&mut self, piece: &Piece) -> Progress {
        let Some(at) = self.asked.iter().position(|w| *w == piece.want) else {
            return Progress::Waiting;
        };
        if piece.version != self.version {
            return Progress::Waiting;
        }
        self.asked.swap_remove(at);
        self.tries = 0;
        self.fetched += piece.content.len();
        let fits = match piece.want.chunk {
            MANIFEST => self.take_manifest(piece),
            number => self.take_chunk(number, piece),
        };
        if !fits {
            return Progress::Broken;
        }
        if self.digests.is_some() && self.texts.iter().all(Option::is_some) {
            return Progress::Complete(self.texts.iter().flatten().cloned().collect());
        }
        if self.asked.is_empty() { Progress::AskNext } else { Progress::Waiting }
    }

    fn take_manifest(&mut self, piece: &Piece) -> bool {
        if !self.manifest.put(piece) {
            return false;
        }
        let Some(whole) = self.manifest.whole() else { return true };
        let Some(digests) = read_manifest(&whole) else { return false };
        for (text, digest) in self.texts.iter_mut().zip(&digests) {
            *text = self.known.get(digest).cloned();
        }
        self.digests = Some(digests);
        true
    }

    fn take_chunk(&mut self, number: u16, piece: &Piece) -> bool {
        let expected = self.digests.as_ref().and_then(|d| d.get(usize::from(number)));
        let Some(expected) = expected.copied() else { return false };
        let assembly = self.open.entry(number).or_default();
        if !assembly.put(piece) {
            return false;
        }
        let Some(whole) = assembly.whole() else { return true };
        let fits = Digest::of(&whole) == expected;
        self.texts[usize::from(number)] = fits.then_some(whole);
        fits
    }

    /// The missing pieces, those of begun chunks first.
    fn next_wants(&self) -> Vec<Want> {
        let want = |chunk: u16| move |part: u16| Want { chunk, part };
        if self.digests.is_none() {
            return self.manifest.missing().into_iter().map(want(MANIFEST)).collect();
        }
        let empty = Assembly::default();
        let missing = self.texts.iter().enumerate().filter(|(_, t)| t.is_none());
        let mut numbers: Vec<u16> = missing.map(|(i, _)| i as u16).collect();
        numbers.sort_by_key(|n| !self.open.contains_key(n));
        let wants = numbers.into_iter().flat_map(|n| {
            let assembly = self.open.get(&n).unwrap_or(&empty);
            assembly.missing().into_iter().map(want(n))
        });
        wants.take(ASK_WINDOW).collect()
    }
}
