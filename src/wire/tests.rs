use assert_matches::assert_matches;
use bytes::BufMut;
use tokio_util::codec::Decoder;

use super::*;

fn frame(tag: u8, body: &'static [u8]) -> frame::Frame {
    let body = bytes::Bytes::from_static(body);
    frame::Frame { tag, body }
}

#[test]
fn splits_tagged_frames_wherever_the_bytes_are_cut() {
    let mut wire = bytes::BytesMut::new();
    frame(b'Q', b"SELECT 1\0").write(&mut wire);
    frame(b'S', b"").write(&mut wire);
    for cut in 0..wire.len() {
        let mut codec = Codec::tagged(100);
        let mut buffer = bytes::BytesMut::from(&wire[..cut]);
        let mut frames = Vec::new();
        while let Some(frame) = codec.decode(&mut buffer).unwrap() {
            frames.push(frame);
        }
        buffer.extend_from_slice(&wire[cut..]);
        while let Some(frame) = codec.decode(&mut buffer).unwrap() {
            frames.push(frame);
        }
        assert_eq!(frames, [frame(b'Q', b"SELECT 1\0"), frame(b'S', b"")]);
    }
}

#[test]
fn reads_a_startup_packet_without_a_tag() {
    let mut buffer = bytes::BytesMut::new();
    buffer.put_i32(8);
    buffer.put_i32(80_877_103);
    let packet = Codec::untagged().decode(&mut buffer).unwrap();
    assert_eq!(packet, Some(frame(0, &[0x04, 0xd2, 0x16, 0x2f])));
    assert!(buffer.is_empty());
}

#[test]
fn refuses_a_length_below_its_own_size_or_over_the_limit() {
    for length in [-1, 0, 3, 101] {
        let mut buffer = bytes::BytesMut::from(&b"Q"[..]);
        buffer.put_i32(length);
        buffer.put_slice(&[0; 8]);
        assert_matches!(Codec::tagged(100).decode(&mut buffer), Err(_), "{length}");
    }
}
