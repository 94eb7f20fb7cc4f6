use proptest::prelude::*;

use super::Message;
use crate::frame;

proptest! {
    #[test]
    fn decoding_never_panics_and_encodes_back(
        tag in prop::sample::select(&b"PBDCESQ!"[..]),
        body in prop::collection::vec(prop::sample::select(&[0, 1, 2, b'S', b'P', b'a', 255][..]), 0..40),
    ) {
        let frame = frame::Frame { tag, body: body.into() };
        if let Ok(message) = Message::decode(&frame) {
            prop_assert_eq!(message.encode(), frame.clone());
        }
        let _ = super::query(&frame);
    }
}

#[test]
fn malformed_message_is_named_with_its_size() {
    let frame = frame::Frame {
        tag: b'P',
        body: bytes::Bytes::from_static(b"a\0b\0\0\x02"),
    };
    let error = Message::decode(&frame).unwrap_err();
    assert_eq!(error.code, "08P01");
    assert_eq!(error.message, "malformed message of type 'P' with 6 bytes");
}
