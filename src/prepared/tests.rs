use super::Effect;
use super::Statement;
use super::Statements;
use crate::extended;
use crate::plans;

fn parse(name: &str, query: &str, types: &'static [u8]) -> extended::Parse {
    extended::Parse {
        name: name.into(),
        query: query.into(),
        parameter_types: bytes::Bytes::from_static(types),
    }
}

fn store(statements: &mut Statements, parse: &extended::Parse) {
    let statement = Statement::new(parse, &plans::Cache::default());
    statements.apply([Effect::Store(parse.name.clone(), statement.into())]);
}

#[test]
fn upstream_name_depends_on_text_and_types() {
    let cache = plans::Cache::default();
    let name = |parse| Statement::new(&parse, &cache).upstream_name;
    let first = name(parse("a", "SELECT $1", &[0, 0]));
    assert_eq!(first, name(parse("b", "SELECT $1", &[0, 0])));
    assert_ne!(first, name(parse("a", "SELECT $2", &[0, 0])));
    assert_ne!(first, name(parse("a", "SELECT $1", &[0, 1, 0, 0, 0, 23])));
}

#[test]
fn number_of_statements_is_limited_and_closing_one_frees_its_place() {
    let mut statements = Statements::new();
    for number in 0..super::STATEMENT_LIMIT {
        store(
            &mut statements,
            &parse(&format!("s{number}"), "SELECT 1", &[0, 0]),
        );
    }
    let next = [extended::Message::Parse(parse("next", "SELECT 1", &[0, 0]))];
    assert_eq!(statements.check_limits(&next).unwrap_err().code, "53400");
    assert!(statements.check_limits(&[extended::Message::Sync]).is_ok());
    statements.apply([Effect::Remove("s7".into())]);
    assert!(statements.check_limits(&next).is_ok());
}

#[test]
fn bytes_of_statement_texts_are_limited() {
    let mut statements = Statements::new();
    let long = "a".repeat(super::TEXT_LIMIT / 2);
    for name in ["a", "a", "a", "b"] {
        store(&mut statements, &parse(name, &long, &[0, 0]));
    }
    let next = [extended::Message::Parse(parse("c", "b", &[0, 0]))];
    assert_eq!(statements.check_limits(&next).unwrap_err().code, "53400");
    statements.apply([Effect::Remove("a".into()), Effect::Remove("a".into())]);
    assert!(statements.check_limits(&next).is_ok());
}
