use assert_matches::assert_matches;
use proptest::prelude::*;

use super::Plan;
use super::Verdict;
use super::classify;
use super::plan;
use crate::class::Class;
use crate::local;

fn class(text: &str) -> Class {
    classify(text).expect(text).class
}

#[test]
fn queries_without_effects_are_reads() {
    let reads = [
        "SELECT 1",
        "select count(*), max(day) from shows where lower(name) = 'a' and id in (1, 2)",
        "SELECT * FROM shows s JOIN seats USING (show) ORDER BY s.day LIMIT 5 OFFSET 2",
        "VALUES (1), (2)",
        "(SELECT 1) UNION (SELECT 2)",
        "WITH open(id) AS (SELECT id FROM shows) SELECT * FROM open",
        "WITH RECURSIVE r(n) AS (SELECT 1 UNION ALL SELECT n + 1 FROM r) SELECT n FROM r",
        "SELECT t.a FROM (VALUES (1, 2)) AS t(a, b)",
        "SELECT pg_catalog.now()",
        "SELECT 'delete from shows; nextval(1)'",
        "SELECT \"delete\" FROM shows -- update",
        "EXPLAIN SELECT * FROM shows",
        "SHOW server_version",
        "SELECT id::text, CAST(id AS varchar(10)) FROM seats WHERE id = ANY($1)",
        "SELECT EXTRACT(hour FROM day), substring(name FROM 1 FOR 2) FROM shows",
        "SELECT row_number() OVER (PARTITION BY day ORDER BY id) FROM shows",
        "SELECT count(*) FILTER (WHERE taken) FROM seats GROUP BY show HAVING count(*) > 1",
        "SELECT 1; SELECT 2",
        "SELECT 'Chào' AS \"Tên\"",
    ];
    for text in reads {
        assert_eq!(class(text), Class::Read, "{text}");
    }
}

#[test]
fn unproven_statements_are_writes() {
    let writes = [
        "INSERT INTO seats VALUES (1)",
        "UPDATE seats SET taken = true",
        "DELETE FROM seats",
        "WITH gone AS (DELETE FROM seats RETURNING *) SELECT * FROM gone",
        "WITH x AS (SELECT 1) INSERT INTO seats SELECT * FROM x",
        "SELECT * FROM seats FOR UPDATE",
        "SELECT * FROM seats FOR KEY SHARE",
        "SELECT * INTO copies FROM seats",
        "SELECT nextval('seq')",
        "SELECT \"nextval\"('seq')",
        "SELECT pg_catalog.nextval('seq')",
        "SELECT mine.count(1)",
        "SELECT x.pg_catalog.count(1)",
        "SELECT nextval /* here */ ('seq')",
        "SELECT book_seat(1)",
        "SELECT * FROM book_seat(1)",
        "SELECT pg_is_in_recovery()",
        "SHOW transaction_read_only",
        "EXPLAIN ANALYZE SELECT 1",
        "EXPLAIN (ANALYZE, VERBOSE) SELECT 1",
        "EXPLAIN DELETE FROM seats",
        "CREATE TABLE a (b int)",
        "CALL settle()",
        "DO $$ BEGIN END $$",
        "SAVEPOINT a",
        "ROLLBACK TO SAVEPOINT a",
        "RELEASE a",
        "SET LOCAL statement_timeout = 100",
        "SET TRANSACTION ISOLATION LEVEL SERIALIZABLE",
        "this is no SQL",
        "SELECT 'open",
        "SELECT 1; DELETE FROM seats",
        "SELECT pg_advisory_xact_lock(1)",
        "SELECT set_config('my.user', 'a', true)",
    ];
    for text in writes {
        assert_eq!(class(text), Class::Write, "{text}");
    }
}

#[test]
fn text_that_the_database_may_tokenize_differently_is_a_write() {
    // Guards against a write that runs twice. If the tokenizer and the database differ on where
    // a comment ends or on white space, a write that the tokenizer takes for part of a comment
    // is classified as a read and is sent again after a lost connection.
    let texts = [
        "SELECT 1 --\rDELETE FROM seats",
        "SELECT 1 --\r; DELETE FROM seats",
        "SELECT 1 !=-- ' \n 2; DELETE FROM seats; -- '",
        "SELECT 1 ~-- ' \n 2; DELETE FROM seats; -- '",
        "SELECT\u{a0}1",
        "SELECT book\u{2003}(1)",
        "SELECT 1\u{b}",
    ];
    for text in texts {
        assert_eq!(class(text), Class::Write, "{text:?}");
    }
}

#[test]
fn transaction_statements_have_their_class() {
    let cases = [
        ("BEGIN", Class::Begin),
        ("begin work;", Class::Begin),
        ("START TRANSACTION", Class::Begin),
        ("START TRANSACTION READ ONLY", Class::BeginRead),
        (
            "BEGIN ISOLATION LEVEL REPEATABLE READ, READ ONLY",
            Class::BeginRead,
        ),
        ("BEGIN ISOLATION LEVEL SERIALIZABLE READ ONLY", Class::Begin),
        ("BEGIN READ ONLY, READ WRITE", Class::Begin),
        ("COMMIT", Class::Commit),
        ("END TRANSACTION", Class::Commit),
        ("ROLLBACK", Class::Rollback),
        ("ABORT", Class::Rollback),
        ("COMMIT AND NO CHAIN", Class::Commit),
    ];
    for (text, expected) in cases {
        assert_eq!(class(text), expected, "{text}");
    }
}

#[test]
fn several_statements_take_the_strongest_class() {
    let cases = [
        ("BEGIN; SELECT 1", Class::Begin, true),
        ("BEGIN READ ONLY; SELECT 1", Class::Begin, true),
        ("BEGIN; DELETE FROM seats; COMMIT", Class::Write, true),
        ("DELETE FROM seats; COMMIT", Class::Write, true),
        ("COMMIT; BEGIN", Class::Write, true),
        ("SELECT 1; DELETE FROM seats", Class::Write, false),
    ];
    for (text, expected, mixed) in cases {
        let verdict = classify(text).unwrap();
        assert_eq!((verdict.class, verdict.mixed), (expected, mixed), "{text}");
        assert!(verdict.multiple_statements);
    }
}

#[test]
fn tables_are_named_once_and_folded() {
    let cases: [(&str, &[&str]); 5] = [
        (
            "SELECT * FROM Shows, public.seats, shows",
            &["seats", "shows"],
        ),
        ("SELECT (SELECT max(id) FROM a) FROM \"B\"", &["B", "a"]),
        (
            "SELECT 1 FROM other.shows; SELECT 2 FROM seats",
            &["other.shows", "seats"],
        ),
        (
            "WITH shows AS (SELECT * FROM shows) SELECT * FROM shows",
            &["shows"],
        ),
        (
            "WITH RECURSIVE shows AS (SELECT * FROM shows) SELECT * FROM shows",
            &[],
        ),
    ];
    for (text, expected) in cases {
        assert_eq!(classify(text).unwrap().tables, expected, "{text}");
    }
}

#[test]
fn session_state_is_refused() {
    let texts = [
        "LISTEN shows",
        "UNLISTEN *",
        "NOTIFY shows",
        "SELECT pg_notify('a', 'b')",
        "SET search_path TO a",
        "SET SESSION work_mem = 1",
        "SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY",
        "SET TRANSACTION READ WRITE",
        "SET LOCAL transaction_read_only = off",
        "SELECT set_config('transaction_read_only', 'off', true)",
        "SELECT set_config('a.b', 'c', false)",
        "SET TIME ZONE 'Asia/Kathmandu'",
        "RESET ALL",
        "DISCARD ALL",
        "CREATE TEMP TABLE a (b int)",
        "CREATE LOCAL TEMPORARY VIEW a AS SELECT 1",
        "SELECT 1 INTO TEMP a",
        "SELECT pg_advisory_lock(1)",
        "SELECT pg_try_advisory_lock(1) FROM seats",
        "PREPARE a AS SELECT 1",
        "EXECUTE a",
        "DEALLOCATE ALL",
        "DECLARE c CURSOR WITH HOLD FOR SELECT 1",
        "COPY seats FROM STDIN",
        "LOAD 'x'",
        "PREPARE TRANSACTION 'a'",
        "COMMIT PREPARED 'a'",
        "COMMIT AND CHAIN",
        "SELECT 1; LISTEN a",
        "SELECT 1; SET client_encoding = 'UTF8'",
    ];
    for text in texts {
        let error = classify(text).expect_err(text);
        assert_eq!(error.code, "0A000", "{text}");
        assert!(error.message.ends_with("(not run)"), "{text}");
    }
}

#[test]
fn fixed_settings_are_answered_by_the_proxy() {
    let texts = [
        "SET client_encoding TO 'UTF8'",
        "SET NAMES 'utf8'",
        "SET TIME ZONE 'UTC'",
        "SET DateStyle = ISO, MDY",
        "SET extra_float_digits = 3",
        "SET application_name = 'desk'",
        "SET standard_conforming_strings = on",
        "SHOW mangotray.token",
        "RESET mangotray.deadline",
        "SET extra_float_digits = 3; SET application_name = 'desk'",
    ];
    for text in texts {
        assert_matches!(plan(text), Plan::Local(_), "{text}");
    }
    let set = local::Command::Set("mangotray.token".into(), None);
    assert_eq!(
        plan("SET mangotray.token TO DEFAULT"),
        Plan::Local(vec![set])
    );
}

#[test]
fn connection_state_needs_a_transaction() {
    assert!(classify("SELECT lastval()").unwrap().needs_connection_state);
    assert!(!classify("SELECT now()").unwrap().needs_connection_state);
    assert!(Verdict::of_class(Class::Write).tables.is_empty());
}

/// Fragments of SQL that are joined at random.
fn fragment() -> impl Strategy<Value = String> {
    const WORDS: &[&str] = &[
        "SELECT",
        "FROM",
        "shows",
        "(",
        ")",
        ",",
        ";",
        "WITH",
        "AS",
        "x",
        "*",
        "1",
        "'a'",
        "--",
        "\n",
        "/*",
        "*/",
        "$$",
        "\"",
        "'",
        "nextval(",
        "BEGIN",
        "COMMIT",
        "SET",
        "LOCAL",
        "=",
        "EXPLAIN",
        "set_config(",
        "true",
        ".",
        "pg_catalog",
        "INTO",
        "TEMP",
        "\r",
        "::",
        "E'\\'",
    ];
    proptest::sample::select(WORDS)
        .prop_map(str::to_owned)
        .boxed()
}

fn effect() -> impl Strategy<Value = &'static str> {
    proptest::sample::select(
        &[
            "INSERT INTO seats VALUES (1)",
            "UPDATE seats SET a = 1",
            "DELETE FROM seats",
            "SELECT nextval('s')",
            "SELECT a FROM seats WHERE b = nextval('s')",
        ][..],
    )
}

/// A statement with an effect: alone, within WITH, before or after a query, or in EXPLAIN ANALYZE.
fn effect_in_query() -> impl Strategy<Value = String> {
    let read = proptest::sample::select(
        &[
            "SELECT 1",
            "SELECT count(*) FROM shows",
            "VALUES (1)",
            "SHOW a",
        ][..],
    );
    let space = proptest::sample::select(&[" ", "\n", "/* x */", " -- y\n", "\t"][..]);
    (effect(), read, space, 0..5_u8).prop_map(|(effect, read, space, shape)| match shape {
        0 => format!("{space}{effect}"),
        1 => format!("WITH{space}a AS{space}({effect} RETURNING *) SELECT * FROM a"),
        2 => format!("{read};{space}{effect}"),
        3 => format!("{effect};{space}{read}"),
        _ => format!("EXPLAIN{space}ANALYZE{space}{effect}"),
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    #[test]
    fn never_panics(text in ".{0,200}", fragments in prop::collection::vec(fragment(), 0..40)) {
        let _ = plan(&text);
        let _ = plan(&fragments.join(" "));
        let _ = plan(&fragments.concat());
    }

    #[test]
    fn statements_with_effects_are_never_reads(text in effect_in_query(), upper in any::<bool>()) {
        let text = if upper { text } else { text.to_lowercase() };
        prop_assert_eq!(classify(&text).unwrap().class, Class::Write);
    }
}
