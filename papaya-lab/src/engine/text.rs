//! The text that follows from a request, and the check of an answer against it.

use serde::{Deserialize, Serialize};
use std::fmt;
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

/// Words that pieces are made of.
const WORDS: [&str; 16] = [
    "amber", "birch", "cedar", "delta", "ember", "fjord", "grove", "hazel", "inlet", "jetty",
    "knoll", "larch", "maple", "north", "oaken", "plain",
];

/// Versions that a checker tries unless it is told which.
const VERSIONS_TRIED: u32 = 16;

/// What decides on an answer's text.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The model.
    pub model: String,
    /// The model's version.
    #[serde(default)]
    pub version: u32,
    /// The adapter, if one is asked for.
    #[serde(default)]
    pub adapter: Option<String>,
    /// The prompt.
    pub prompt: String,
    /// Pieces of the whole answer, those before a continuation included.
    pub max_tokens: u32,
}

impl Ask {
    /// Hash from which every piece's text follows.
    pub fn hash(&self) -> u64 {
        self.hash_version(self.version)
    }

    /// As [`Ask::hash`], for another version of the model.
    fn hash_version(&self, version: u32) -> u64 {
        let mut hash = Xxh3::new();
        for part in [&self.model, self.adapter.as_deref().unwrap_or(""), &self.prompt] {
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part.as_bytes());
        }
        hash.update(&version.to_le_bytes());
        hash.digest()
    }
}

/// The text of piece `index`.
pub fn piece_text(hash: u64, index: u32) -> String {
    let mixed = xxh3_64_with_seed(&index.to_le_bytes(), hash);
    let word = WORDS[(mixed & 0xf) as usize];
    format!("{word}{:04x} ", (mixed >> 8) & 0xffff)
}

/// The text of pieces `0..count` in one.
pub(crate) fn prior_text(hash: u64, count: u32) -> String {
    (0..count).map(|i| piece_text(hash, i)).collect()
}

/// One piece of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// Its place in the answer.
    pub index: u32,
    /// Its text.
    pub text: String,
}

/// What is wrong with an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A piece stands at another place than the next.
    Index {
        /// The place that was due.
        due: u32,
        /// The place that it states.
        found: u32,
    },
    /// A piece's text is not that of this request.
    Text {
        /// The piece's place.
        index: u32,
        /// Its text.
        found: String,
    },
    /// The answer ended early or ran on.
    Length {
        /// Pieces that were asked for.
        due: u32,
        /// Pieces that came.
        found: u32,
    },
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Index { due, found } => write!(f, "piece {found} where {due} was due"),
            Self::Text { index, found } => write!(f, "foreign text '{found}' at piece {index}"),
            Self::Length { due, found } => write!(f, "{found} pieces where {due} were due"),
        }
    }
}

/// Checks an answer piece by piece: the right text, in order, whole, of one version throughout.
#[derive(Clone, Debug)]
pub struct Checker {
    hashes: Vec<u64>,
    next: u32,
    due: u32,
}

impl Checker {
    /// A checker of the answer to `ask`. Version 0 stands for any one version.
    pub fn new(ask: &Ask) -> Self {
        let hashes = match ask.version {
            0 => (1..=VERSIONS_TRIED).map(|v| ask.hash_version(v)).collect(),
            _ => vec![ask.hash()],
        };
        Self { hashes, next: 0, due: ask.max_tokens }
    }

    /// Checks the next piece.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn take(&mut self, piece: &Piece) -> Result<(), Fault> {
        let due = self.next;
        if piece.index != due {
            return Err(Fault::Index { due, found: piece.index });
        }
        self.hashes.retain(|h| piece_text(*h, due) == piece.text);
        if self.hashes.is_empty() {
            return Err(Fault::Text { index: due, found: piece.text.clone() });
        }
        self.next += 1;
        Ok(())
    }

    /// Checks that the answer is whole.
    ///
    /// # Errors
    /// Its length, if it is wrong.
    pub fn finish(&self) -> Result<(), Fault> {
        if self.next == self.due {
            return Ok(());
        }
        Err(Fault::Length { due: self.due, found: self.next })
    }
}
