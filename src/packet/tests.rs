use assert_matches::assert_matches;
use tokio_util::codec::{Decoder, Encoder};

use super::Codec;
use crate::peer;

#[test]
fn refuses_a_length_over_the_limit_before_the_bytes_arrive() {
    let mut codec = Codec::<String, String>::new(8);
    let mut buffer = bytes::BytesMut::from(&u32::MAX.to_be_bytes()[..]);
    assert_matches!(codec.decode(&mut buffer), Err(_));
}

#[test]
fn leaves_nothing_of_a_refused_message_behind() {
    let mut codec = Codec::<String, String>::new(8);
    let mut buffer = bytes::BytesMut::new();
    codec.encode("short".to_owned(), &mut buffer).unwrap();
    let before = buffer.clone();
    assert_matches!(codec.encode("far too long".to_owned(), &mut buffer), Err(_));
    assert_eq!(buffer, before);
}

#[test]
fn leaves_nothing_of_an_abandoned_message_behind() {
    let mut codec = Codec::<(), (String, peer::Transmission)>::new(64);
    let mut buffer = bytes::BytesMut::new();
    let mark = peer::Transmission::default();
    assert!(mark.abandon());
    assert_matches!(codec.encode(("text".to_owned(), mark), &mut buffer), Err(_));
    assert!(buffer.is_empty());
}

#[test]
fn end_of_the_stream_is_an_error() {
    let mut codec = Codec::<String, String>::new(8);
    assert_matches!(codec.decode_eof(&mut bytes::BytesMut::new()), Err(_));
}
