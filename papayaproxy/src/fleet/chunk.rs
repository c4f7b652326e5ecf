//! Splits a document's canonical text into chunks, so that only changed chunks are sent.

use super::constants::{UPSTREAM_CHUNKS, WORKSPACE_CHUNKS};
use super::document::Document;
use super::error::DocumentError;
use super::parse::parse;
use super::render::{WORKSPACES_HEADER, head, middle, sorted, upstream_section, workspace_line};
use super::version::Version;
use crate::base::digest::Digest;
use crate::base::name::Name;
use bytes::Bytes;
use xxhash_rust::xxh3::xxh3_64;

/// Chunks before the upstreams: the `[fleet]` section, then zones, models, services and groups.
const FIRST_CHUNKS: usize = 2;

/// Number of chunks, the same for every document.
pub(crate) const CHUNKS: usize = FIRST_CHUNKS + UPSTREAM_CHUNKS + WORKSPACE_CHUNKS;

/// The canonical text of a document in chunks.
#[derive(Clone, Debug, Default)]
pub struct Chunks {
    /// Version of the document.
    pub version: Version,
    /// Text of each chunk, which may be empty.
    pub texts: Vec<Bytes>,
    /// Digest of each chunk.
    pub digests: Vec<Digest>,
}

impl Chunks {
    /// Splits a document; its `digest` must be up to date.
    pub fn of(document: &Document) -> Self {
        let mut texts = vec![String::new(); CHUNKS];
        texts[0] = head(document, Some(document.digest));
        texts[1] = middle(document);
        for (name, upstream) in sorted(&document.upstreams) {
            let at = FIRST_CHUNKS + bucket(name, UPSTREAM_CHUNKS);
            texts[at] += &upstream_section(name, upstream);
        }
        for (name, workspace) in sorted(&document.workspaces) {
            let at = FIRST_CHUNKS + UPSTREAM_CHUNKS + bucket(name, WORKSPACE_CHUNKS);
            texts[at] += &workspace_line(name, workspace);
        }
        let texts: Vec<Bytes> = texts.into_iter().map(Bytes::from).collect();
        let digests = texts.iter().map(|t| Digest::of(t)).collect();
        Self { version: document.version(), texts, digests }
    }

    /// The concatenated digests of all chunks.
    pub fn manifest(&self) -> Bytes {
        self.digests.iter().flat_map(|d| d.0).collect()
    }
}

/// Decodes a manifest; `None` if it has the wrong length.
pub(crate) fn read_manifest(bytes: &[u8]) -> Option<Vec<Digest>> {
    let (digests, rest) = bytes.as_chunks();
    let fits = rest.is_empty() && digests.len() == CHUNKS;
    fits.then(|| digests.iter().map(|d| Digest(*d)).collect())
}

/// Joins the texts of all chunks, then parses and validates the document.
///
/// # Errors
/// Returns all problems found in the joined text.
pub fn rebuild(texts: &[Bytes]) -> Result<Document, DocumentError> {
    let first_workspace = texts.len().min(FIRST_CHUNKS + UPSTREAM_CHUNKS);
    let mut text = String::new();
    for (i, chunk) in texts.iter().enumerate() {
        if i == first_workspace {
            text += WORKSPACES_HEADER;
        }
        text += &String::from_utf8_lossy(chunk);
    }
    parse(&text)
}

fn bucket(name: &Name, count: usize) -> usize {
    let hash = xxh3_64(name.as_bytes());
    (hash % count as u64) as usize
}
