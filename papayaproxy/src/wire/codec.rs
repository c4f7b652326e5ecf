//! Length-prefixed frames, authenticated with a frame counter against replay and reordering.

use super::constants::FRAME_BYTES_MAX;
use super::error::{BrokenSnafu, MalformedSnafu, OversizedSnafu, ShortSnafu, WireError};
use super::frame::Envelope;
use super::seal::{TAG_BYTES, tags_match};
use bytes::{Buf, BufMut, BytesMut};
use snafu::{ResultExt, ensure};
use tokio_util::codec::{Decoder, Encoder};

const LENGTH_BYTES: usize = 4;

/// One direction of a link: its session key and the number of frames authenticated so far.
pub(crate) struct Direction {
    key: [u8; 32],
    count: u64,
}

impl Direction {
    pub(crate) fn new(key: [u8; 32]) -> Self {
        Self { key, count: 0 }
    }

    /// Computes the next frame's authentication code. The counter prevents replay and reordering.
    fn next_tag(&mut self, content: &[u8]) -> [u8; TAG_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(&self.count.to_le_bytes());
        hasher.update(content);
        self.count += 1;
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&hasher.finalize().as_bytes()[..TAG_BYTES]);
        tag
    }
}

/// Encodes envelopes for sending.
pub(crate) struct FrameEncoder {
    pub(crate) direction: Direction,
}

impl Encoder<&Envelope> for FrameEncoder {
    type Error = WireError;

    fn encode(&mut self, envelope: &Envelope, out: &mut BytesMut) -> Result<(), WireError> {
        let start = out.len();
        out.put_u32_le(0);
        let content = start + LENGTH_BYTES;
        let writer = PostcardWriter { out };
        let end = postcard::serialize_with_flavor(envelope, writer).context(MalformedSnafu)?;
        let size = end - content;
        ensure!(size <= FRAME_BYTES_MAX, OversizedSnafu { length: size });
        let tag = self.direction.next_tag(&out[content..]);
        out.put_slice(&tag);
        let length = (size + TAG_BYTES) as u32;
        out[start..content].copy_from_slice(&length.to_le_bytes());
        Ok(())
    }
}

/// A postcard output that appends to a buffer, so that a frame needs no copy.
struct PostcardWriter<'a> {
    out: &'a mut BytesMut,
}

impl postcard::ser_flavors::Flavor for PostcardWriter<'_> {
    type Output = usize;

    fn try_push(&mut self, data: u8) -> postcard::Result<()> {
        self.out.put_u8(data);
        Ok(())
    }

    fn try_extend(&mut self, data: &[u8]) -> postcard::Result<()> {
        self.out.put_slice(data);
        Ok(())
    }

    fn finalize(self) -> postcard::Result<usize> {
        Ok(self.out.len())
    }
}

/// Decodes received envelopes.
pub(crate) struct FrameDecoder {
    pub(crate) direction: Direction,
}

impl Decoder for FrameDecoder {
    type Item = Envelope;
    type Error = WireError;

    fn decode(&mut self, input: &mut BytesMut) -> Result<Option<Envelope>, WireError> {
        if input.len() < LENGTH_BYTES {
            return Ok(None);
        }
        let length = u32::from_le_bytes([input[0], input[1], input[2], input[3]]) as usize;
        ensure!(length <= FRAME_BYTES_MAX + TAG_BYTES, OversizedSnafu { length });
        ensure!(length > TAG_BYTES, ShortSnafu { length });
        if input.len() < LENGTH_BYTES + length {
            input.reserve(LENGTH_BYTES + length - input.len());
            return Ok(None);
        }
        input.advance(LENGTH_BYTES);
        let sealed = input.split_to(length);
        let (content, found) = sealed.split_at(length - TAG_BYTES);
        ensure!(tags_match(found, &self.direction.next_tag(content)), BrokenSnafu);
        postcard::from_bytes(content).map(Some).context(MalformedSnafu)
    }
}
