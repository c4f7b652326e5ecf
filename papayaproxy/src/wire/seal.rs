//! Seals datagrams: key number, postcard message, authentication code.

use super::error::{BrokenSnafu, KeyUnknownSnafu, MalformedSnafu, ShortSnafu, WireError};
use super::secret::Secrets;
use serde::{Serialize, de::DeserializeOwned};
use snafu::{OptionExt, ResultExt, ensure};

/// Length of an authentication code in bytes.
pub(crate) const TAG_BYTES: usize = 16;

/// Largest datagram in bytes; it fits a common network MTU without fragmentation.
pub const DATAGRAM_BYTES_MAX: usize = 1400;

/// Computes the authentication code of `content`.
pub(crate) fn tag(key: &[u8; 32], content: &[u8]) -> [u8; TAG_BYTES] {
    let hash = blake3::keyed_hash(key, content);
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&hash.as_bytes()[..TAG_BYTES]);
    tag
}

/// Compares two authentication codes in constant time.
pub(crate) fn tags_match(a: &[u8], b: &[u8; TAG_BYTES]) -> bool {
    a.len() == TAG_BYTES && a.iter().zip(b).fold(0, |diff, (x, y)| diff | (x ^ y)) == 0
}

/// Encodes and seals a datagram.
///
/// # Errors
/// `Malformed` if the message cannot be encoded.
pub fn seal<T: Serialize>(secrets: &Secrets, message: &T) -> Result<Vec<u8>, WireError> {
    let mut bytes = vec![secrets.current.id];
    bytes = postcard::to_extend(message, bytes).context(MalformedSnafu)?;
    let tag = tag(&secrets.current.datagram, &bytes);
    bytes.extend_from_slice(&tag);
    Ok(bytes)
}

/// Checks and decodes a datagram.
///
/// # Errors
/// `Short`, `KeyUnknown`, `Broken` or `Malformed`; the message is authenticated before it is decoded.
pub fn unseal<T: DeserializeOwned>(secrets: &Secrets, bytes: &[u8]) -> Result<T, WireError> {
    ensure!(bytes.len() > TAG_BYTES, ShortSnafu { length: bytes.len() });
    let (content, found) = bytes.split_at(bytes.len() - TAG_BYTES);
    let id = content[0];
    let secret = secrets.find(id).context(KeyUnknownSnafu { id })?;
    ensure!(tags_match(found, &tag(&secret.datagram, content)), BrokenSnafu);
    postcard::from_bytes(&content[1..]).context(MalformedSnafu)
}
