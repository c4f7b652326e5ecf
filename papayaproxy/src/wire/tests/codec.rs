//! Tests of frames.

use super::super::codec::{Direction, FrameDecoder, FrameEncoder};
use super::super::constants::FRAME_BYTES_MAX;
use super::super::error::WireError;
use super::super::frame::{Envelope, Frame};
use bytes::BytesMut;
use tokio_util::codec::{Decoder, Encoder};

fn pair() -> (FrameEncoder, FrameDecoder) {
    let key = [3; 32];
    let encoder = FrameEncoder { direction: Direction::new(key) };
    (encoder, FrameDecoder { direction: Direction::new(key) })
}

fn encoded(encoder: &mut FrameEncoder, number: u64) -> BytesMut {
    let mut bytes = BytesMut::new();
    encoder.encode(&Envelope { generation: 9, frame: Frame::Ping(number) }, &mut bytes).unwrap();
    bytes
}

#[test]
fn decode_in_order() {
    let (mut encoder, mut decoder) = pair();
    for number in 0..3 {
        let mut bytes = encoded(&mut encoder, number);
        let found = decoder.decode(&mut bytes).unwrap().unwrap();
        assert_eq!(found, Envelope { generation: 9, frame: Frame::Ping(number) });
    }
}

#[test]
fn decode_byte_by_byte() {
    let (mut encoder, mut decoder) = pair();
    let bytes = encoded(&mut encoder, 7);
    let mut input = BytesMut::new();
    for (place, byte) in bytes.iter().enumerate() {
        assert!(decoder.decode(&mut input).unwrap().is_none(), "whole before byte {place}");
        input.extend_from_slice(&[*byte]);
    }
    assert!(decoder.decode(&mut input).unwrap().is_some());
}

#[test]
fn decode_replayed_refused() {
    let (mut encoder, mut decoder) = pair();
    let mut bytes = encoded(&mut encoder, 7);
    assert!(decoder.decode(&mut bytes.clone()).unwrap().is_some());
    assert!(matches!(decoder.decode(&mut bytes), Err(WireError::Broken)));
}

#[test]
fn decode_reordered_refused() {
    let (mut encoder, mut decoder) = pair();
    let _first = encoded(&mut encoder, 1);
    let mut second = encoded(&mut encoder, 2);
    assert!(matches!(decoder.decode(&mut second), Err(WireError::Broken)));
}

#[test]
fn decode_oversized_refused() {
    let (_, mut decoder) = pair();
    let length = (FRAME_BYTES_MAX + 17) as u32;
    let mut bytes = BytesMut::from(&length.to_le_bytes()[..]);
    assert!(matches!(decoder.decode(&mut bytes), Err(WireError::Oversized { .. })));
}
