use assert_matches::assert_matches;
use bytes::BufMut;
use proptest::prelude::*;

use super::Packet;
use super::Parameters;
use crate::frame;
use crate::refusal;

fn packet(code: u32, rest: &[u8]) -> frame::Frame {
    let mut body = bytes::BytesMut::new();
    body.put_u32(code);
    body.put_slice(rest);
    frame::Frame {
        tag: 0,
        body: body.freeze(),
    }
}

fn open(minor: u32, parameters: &[(&str, &str)]) -> Result<Parameters, refusal::Error> {
    let mut rest = String::new();
    for text in parameters.iter().flat_map(|(name, value)| [name, value]) {
        rest.push_str(text);
        rest.push('\0');
    }
    rest.push('\0');
    match Packet::decode(&packet((3 << 16) | minor, rest.as_bytes()))? {
        Packet::Startup(parameters) => Ok(parameters),
        other => panic!("{other:?}"),
    }
}

#[test]
fn token_and_deadline_come_by_options_or_by_name() {
    let forms: [&[(&str, &str)]; 4] = [
        &[(
            "options",
            "-c mangotray.token=3/77 -c mangotray.deadline=500ms",
        )],
        &[("options", "--mangotray.token=3/77 -cmangotray.deadline=500")],
        &[("mangotray.token", "3/77"), ("mangotray.deadline", "500ms")],
        &[
            ("options", "-c mangotray.deadline=500\\ ms"),
            ("mangotray.token", "3/77"),
        ],
    ];
    for form in forms {
        let parameters = open(0, &[&[("user", "desk")], form].concat()).unwrap();
        assert_eq!(parameters.settings.token_text(), "3/77");
        assert_eq!(parameters.settings.deadline.unwrap().as_millis(), 500);
        assert_eq!(parameters.database, "desk", "the user's name by default");
    }
}

#[test]
fn what_is_not_in_force_is_refused_by_name() {
    let cases = [
        ("search_path", "a", "0A000"),
        ("TimeZone", "Asia/Kathmandu", "0A000"),
        ("replication", "database", "0A000"),
        ("mangotray.token", "later", "22023"),
        ("options", "-d", "08P01"),
        ("options", "-c", "08P01"),
    ];
    for (name, value, code) in cases {
        let error = open(0, &[("user", "desk"), (name, value)]).expect_err(name);
        assert_eq!(error.code, code, "{name}");
        assert_eq!(error.severity, refusal::Severity::Fatal);
    }
    let accepted = [
        ("user", "desk"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO"),
        ("TimeZone", "UTC"),
        ("extra_float_digits", "2"),
        ("application_name", "psql"),
        ("replication", "false"),
    ];
    assert_eq!(open(0, &accepted).unwrap().settings.application, "psql");
}

#[test]
fn later_versions_and_options_are_negotiated() {
    let user = ("user", "desk");
    assert_eq!(open(0, &[user]).unwrap().negotiation, None);
    assert_eq!(open(2, &[user]).unwrap().negotiation, None);
    assert_eq!(
        open(1, &[user]).unwrap().negotiation,
        Some((196_608, vec![]))
    );
    assert_eq!(
        open(9999, &[user]).unwrap().negotiation,
        Some((196_610, vec![]))
    );
    let option = ("_pq_.test", "1");
    let expected = Some((196_608, vec!["_pq_.test".to_owned()]));
    assert_eq!(open(0, &[user, option]).unwrap().negotiation, expected);
}

#[test]
fn cancel_request_holds_pid_and_secret() {
    let frame = packet(80_877_102, &[0, 0, 0, 7, 255, 255, 255, 255]);
    assert_eq!(Packet::decode(&frame), Ok(Packet::CancelRequest(7, -1)));
    let short = packet(80_877_102, &[0, 0, 0, 7]);
    assert_matches!(Packet::decode(&short), Err(error) if error.code == "08P01");
}

proptest! {
    #[test]
    fn decoding_never_panics(code in any::<u32>(), rest in prop::collection::vec(any::<u8>(), 0..64)) {
        for code in [code, 196_608, 196_610, 80_877_102, 80_877_103] {
            let _ = Packet::decode(&packet(code, &rest));
        }
        let body = rest.into();
        let _ = Packet::decode(&frame::Frame { tag: 0, body });
    }
}
