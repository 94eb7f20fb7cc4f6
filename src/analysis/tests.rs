use assert_matches::assert_matches;

use super::Analysis;
use crate::class::Class;
use crate::extended::Bind;
use crate::extended::Message;
use crate::extended::Parse;
use crate::extended::Target;
use crate::plans;
use crate::prepared::Statements;

fn prepare(query: &str) -> Message {
    Message::Parse(Parse {
        name: query.into(),
        query: query.into(),
        parameter_types: bytes::Bytes::from_static(&[0, 0]),
    })
}

/// Messages that prepare a text and run it.
fn run(query: &str) -> Vec<Message> {
    let bind = Message::Bind(Bind {
        portal: "".into(),
        statement: query.into(),
        parameters: bytes::Bytes::new(),
    });
    let execute = Message::Execute {
        portal: "".into(),
        max_rows: 0,
    };
    vec![prepare(query), bind, execute]
}

fn analyze(messages: &[Message]) -> Analysis {
    let references = Statements::new().resolve(messages, &plans::Cache::default());
    super::analyze(messages, &references)
}

fn class(messages: &[Message]) -> Class {
    match analyze(messages) {
        Analysis::Run(verdict) => verdict.class,
        other => panic!("{other:?}"),
    }
}

#[test]
fn class_follows_executed_and_not_prepared_statements() {
    assert_eq!(class(&[prepare("DELETE FROM seats")]), Class::Read);
    assert_eq!(class(&run("DELETE FROM seats")), Class::Write);
    assert_eq!(class(&run("SELECT 1")), Class::Read);
    assert_eq!(class(&run("BEGIN")), Class::Begin);
    let both = [run("SELECT 1"), run("DELETE FROM seats")].concat();
    assert_eq!(class(&both), Class::Write);
    let mixed = [run("BEGIN"), run("SELECT 1")].concat();
    assert_eq!(class(&mixed), Class::Begin);
}

#[test]
fn executing_a_portal_of_an_earlier_batch_is_a_write() {
    let execute = Message::Execute {
        portal: "cursor".into(),
        max_rows: 10,
    };
    assert_eq!(class(&[execute]), Class::Write);
}

#[test]
fn batch_that_mixes_local_and_upstream_statements_is_refused() {
    let local = run("SHOW mangotray.token");
    assert_eq!(analyze(&local), Analysis::Local);
    assert_matches!(
        analyze(&[local, run("SELECT 1")].concat()),
        Analysis::Refuse(_)
    );
    let two = run("SHOW mangotray.token; SHOW mangotray.deadline");
    assert_matches!(analyze(&two), Analysis::Refuse(_));
    assert_matches!(analyze(&run("LISTEN a")), Analysis::Refuse(_));
    let close = Message::Close(Target::Statement("a".into()));
    assert_eq!(analyze(&[close, Message::Sync]), Analysis::Bookkeeping);
}
