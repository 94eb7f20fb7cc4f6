use super::*;
use crate::extended::Bind;
use crate::extended::Message;
use crate::extended::Parse;
use crate::extended::Target;
use crate::plans;
use crate::prepared::Effect;
use crate::prepared::Statements;

fn parse(name: &str, query: &str) -> Message {
    Message::Parse(Parse {
        name: name.into(),
        query: query.into(),
        parameter_types: bytes::Bytes::from_static(&[0, 0]),
    })
}

fn bind(statement: &str) -> Message {
    portal("", statement)
}

fn portal(portal: &str, statement: &str) -> Message {
    Message::Bind(Bind {
        portal: portal.into(),
        statement: statement.into(),
        parameters: bytes::Bytes::from_static(&[0; 6]),
    })
}

fn describe(name: &str) -> Message {
    Message::Describe(Target::Statement(name.into()))
}

fn close(name: &str) -> Message {
    Message::Close(Target::Statement(name.into()))
}

fn execute() -> Message {
    Message::Execute {
        portal: "".into(),
        max_rows: 0,
    }
}

/// Simulates one connection of a database: it keeps prepared statements by name, answers the
/// messages in order and skips to the Sync after an error.
#[derive(Default)]
struct Database {
    statements: collections::BTreeMap<CompactString, sync::Arc<str>>,
}

fn reply(tag: u8, text: &str) -> frame::Frame {
    frame::Frame {
        tag,
        body: bytes::Bytes::copy_from_slice(text.as_bytes()),
    }
}

impl Database {
    fn run(&mut self, frames: &[frame::Frame]) -> Vec<frame::Frame> {
        let mut answer = Vec::new();
        for frame in frames {
            let message = Message::decode(frame).unwrap();
            match self.answer_message(&message) {
                Ok(frames) => answer.extend(frames),
                Err(text) => {
                    answer.push(reply(b'E', &text));
                    break;
                }
            }
        }
        answer
    }

    fn answer_message(&mut self, message: &Message) -> Result<Vec<frame::Frame>, String> {
        match message {
            Message::Parse(parse) if parse.query.contains("broken") => Err("syntax error".into()),
            Message::Parse(Parse { name, .. })
                if !name.is_empty() && self.statements.contains_key(name) =>
            {
                Err(format!("prepared statement \"{name}\" already exists"))
            }
            Message::Parse(parse) => {
                let query = parse.query.clone();
                self.statements.insert(parse.name.clone(), query);
                Ok(vec![reply(b'1', "")])
            }
            Message::Bind(bind) => self.find(&bind.statement).map(|_| vec![reply(b'2', "")]),
            Message::Describe(Target::Statement(name)) => {
                let query = self.find(name)?;
                Ok(vec![
                    reply(b't', ""),
                    reply(b'N', "by the way"),
                    reply(b'T', &query),
                ])
            }
            Message::Describe(Target::Portal(_)) => Ok(vec![reply(b'n', "")]),
            Message::Close(target) => {
                if let Target::Statement(name) = target {
                    self.statements.remove(name);
                }
                Ok(vec![reply(b'3', "")])
            }
            Message::Execute { .. } => Ok(vec![reply(b'D', "row"), reply(b'C', "SELECT 1")]),
            Message::Sync => Ok(vec![]),
        }
    }

    fn find(&self, name: &CompactString) -> Result<sync::Arc<str>, String> {
        self.statements.get(name).cloned().ok_or_else(|| {
            if name.is_empty() {
                "unnamed prepared statement does not exist".into()
            } else {
                format!("prepared statement \"{name}\" does not exist")
            }
        })
    }
}

/// Sends a batch of a session over a connection and returns the answer for the caller.
fn send(
    statements: &mut Statements,
    connection: &mut Database,
    messages: &[Message],
) -> Vec<frame::Frame> {
    let references = statements.resolve(messages, &plans::Cache::default());
    let rewrite = statements.rewrite(messages, &references);
    let answer = connection.run(&rewrite.frames());
    let answer = rewrite.filter_answer(answer);
    statements.apply(answer.effects);
    answer.frames
}

fn tags(frames: &[frame::Frame]) -> String {
    frames.iter().map(|frame| char::from(frame.tag)).collect()
}

fn last_text(frames: &[frame::Frame]) -> &str {
    std::str::from_utf8(&frames.last().unwrap().body).unwrap()
}

#[test]
fn statement_prepared_on_one_connection_runs_on_another() {
    let mut session = Statements::new();
    let (mut first, mut second) = (Database::default(), Database::default());
    let answer = send(
        &mut session,
        &mut first,
        &[parse("s", "SELECT 1"), describe("s"), Message::Sync],
    );
    assert_eq!(tags(&answer), "1tNT");
    let answer = send(
        &mut session,
        &mut second,
        &[bind("s"), execute(), Message::Sync],
    );
    assert_eq!(tags(&answer), "2DC");
}

#[test]
fn sessions_with_the_same_statement_name_are_isolated() {
    // Guards against an answer to another caller's statement. It comes about if callers' own
    // names are used on a shared connection and two sessions prepare different texts under
    // one name.
    let mut connection = Database::default();
    let (mut one, mut two) = (Statements::new(), Statements::new());
    send(
        &mut one,
        &mut connection,
        &[parse("s", "SELECT 1"), Message::Sync],
    );
    send(
        &mut two,
        &mut connection,
        &[parse("s", "SELECT 2"), Message::Sync],
    );
    let answer = send(&mut one, &mut connection, &[describe("s"), Message::Sync]);
    assert_eq!(last_text(&answer), "SELECT 1");
}

#[test]
fn unnamed_statement_of_another_session_is_never_used() {
    // Guards against an answer to another caller's statement through the unnamed statement,
    // which is not closed and so stays on the connection.
    let mut connection = Database::default();
    let (mut one, mut two) = (Statements::new(), Statements::new());
    send(
        &mut one,
        &mut connection,
        &[parse("", "SELECT 1"), Message::Sync],
    );
    let answer = send(
        &mut two,
        &mut connection,
        &[bind(""), execute(), Message::Sync],
    );
    assert_eq!(tags(&answer), "E");
    assert_eq!(
        last_text(&answer),
        "unnamed prepared statement does not exist"
    );
    send(
        &mut two,
        &mut connection,
        &[parse("", "SELECT 2"), Message::Sync],
    );
    let answer = send(&mut one, &mut connection, &[describe(""), Message::Sync]);
    assert_eq!(last_text(&answer), "SELECT 1");
}

#[test]
fn errors_come_in_order_and_with_the_callers_names() {
    let mut session = Statements::new();
    let mut connection = Database::default();
    let answer = send(
        &mut session,
        &mut connection,
        &[
            parse("", "SELECT 1"),
            bind(""),
            execute(),
            bind("gone"),
            execute(),
            Message::Sync,
        ],
    );
    assert_eq!(tags(&answer), "12DCE");
    assert_eq!(
        last_text(&answer),
        "prepared statement \"gone\" does not exist"
    );
}

#[test]
fn parse_under_a_used_name_fails_and_keeps_the_old_statement() {
    let mut session = Statements::new();
    let mut connection = Database::default();
    send(
        &mut session,
        &mut connection,
        &[parse("s", "SELECT 1"), Message::Sync],
    );
    let answer = send(
        &mut session,
        &mut connection,
        &[parse("s", "SELECT 2"), Message::Sync],
    );
    assert_eq!(tags(&answer), "E");
    assert_eq!(
        last_text(&answer),
        "prepared statement \"s\" already exists"
    );
    let answer = send(
        &mut session,
        &mut connection,
        &[describe("s"), Message::Sync],
    );
    assert_eq!(last_text(&answer), "SELECT 1");
}

#[test]
fn only_parses_that_have_run_are_stored() {
    let mut session = Statements::new();
    let mut connection = Database::default();
    send(
        &mut session,
        &mut connection,
        &[
            parse("a", "SELECT 1"),
            parse("b", "broken"),
            parse("c", "SELECT 3"),
            Message::Sync,
        ],
    );
    assert!(session.get("a").is_some());
    assert!(session.get("b").is_none());
    assert!(session.get("c").is_none());
}

#[test]
fn close_removes_one_of_two_statements_with_the_same_text() {
    let mut session = Statements::new();
    let mut connection = Database::default();
    let answer = send(
        &mut session,
        &mut connection,
        &[
            parse("a", "SELECT 1"),
            parse("b", "SELECT 1"),
            close("a"),
            bind("b"),
            execute(),
            close("never"),
            Message::Sync,
        ],
    );
    assert_eq!(tags(&answer), "1132DC3");
    assert!(session.get("a").is_none());
    let answer = send(&mut session, &mut connection, &[bind("a"), Message::Sync]);
    assert_eq!(
        last_text(&answer),
        "prepared statement \"a\" does not exist"
    );
}

#[test]
fn no_named_statement_is_left_on_the_connection() {
    // Guards against instances that run out of memory over days. It comes about if callers
    // prepare ever new texts on long-lived connections and nobody closes the statements after
    // their sessions have ended.
    let mut session = Statements::new();
    let mut connection = Database::default();
    for number in 0..20 {
        let text = format!("SELECT {number}");
        let name = format!("s{number}");
        let batch = [parse(&name, &text), bind(&name), execute(), Message::Sync];
        send(&mut session, &mut connection, &batch);
        send(
            &mut session,
            &mut connection,
            &[bind(&name), execute(), Message::Sync],
        );
    }
    assert!(connection.statements.is_empty());
}

#[test]
fn portals_that_outlive_the_batch_keep_their_statement() {
    let session = Statements::new();
    let batch = [parse("s", "SELECT 1"), portal("p", "s"), Message::Sync];
    let references = session.resolve(&batch, &plans::Cache::default());
    let frames = session.rewrite(&batch, &references).frames();
    assert_eq!(tags(&frames), "CPBS");
}

/// Compares the answers to a session's batches on a dedicated connection with those on changing
/// connections that another session uses as well.
#[test]
fn shared_connections_answer_like_a_dedicated_one() {
    let mut random = fastrand::Rng::with_seed(7);
    let names = ["", "a", "b", "c"];
    let texts = ["SELECT 1", "SELECT 2", "broken"];
    for _ in 0..2_000 {
        let mut dedicated = Database::default();
        let mut session = Statements::new();
        let mut shared = [Database::default(), Database::default()];
        let mut other = Statements::new();
        for _ in 0..6 {
            let mut batch: Vec<_> = (0..random.usize(1..7))
                .map(|_| {
                    let name = names[random.usize(..names.len())];
                    match random.u8(..6) {
                        0 | 1 => parse(name, texts[random.usize(..texts.len())]),
                        2 => bind(name),
                        3 => describe(name),
                        4 => close(name),
                        _ => execute(),
                    }
                })
                .collect();
            batch.push(Message::Sync);
            let frames: Vec<_> = batch.iter().map(Message::encode).collect();
            let expected = dedicated.run(&frames);
            let connection = &mut shared[random.usize(..2)];
            let answer = send(&mut session, connection, &batch);
            assert_eq!(answer, expected, "{batch:?}");
            let other_batch = [
                parse(names[random.usize(..4)], texts[random.usize(..2)]),
                Message::Sync,
            ];
            send(&mut other, &mut shared[random.usize(..2)], &other_batch);
        }
    }
}

#[test]
fn effects_follow_the_callers_names() {
    let removed = crate::prepared::effect(&close("a"), None);
    assert_eq!(removed, Some(Effect::Remove("a".into())));
}
