use super::split;

fn count(text: &str) -> usize {
    split(text).expect(text).len()
}

#[test]
fn semicolons_end_statements_only_where_the_database_ends_them() {
    assert_eq!(count(""), 0);
    assert_eq!(count(";; /* ; */ -- ;\n"), 0);
    assert_eq!(count("SELECT ';'; SELECT $a$;$a$; SELECT \";\""), 3);
    assert_eq!(count("SELECT E'\\';'; SELECT 2"), 2);
    assert_eq!(count("/* /* nested */ ; */ SELECT 1"), 1);
    assert_eq!(
        count("CREATE RULE r AS ON INSERT TO a DO ALSO (SELECT 1; SELECT 2); SELECT 3"),
        2
    );
}

#[test]
fn function_body_with_semicolons_is_one_statement() {
    // Guards against a session that assumes its transaction has ended. It comes about if a
    // function body is split at its semicolons and the final END is read as COMMIT.
    let text = "CREATE FUNCTION f() RETURNS int BEGIN ATOMIC SELECT 1; SELECT 2; END";
    assert_eq!(count(text), 1);
}

#[test]
fn comment_start_inside_an_operator_is_an_error() {
    assert!(split("SELECT 1 ~-- ' \n 2; DELETE FROM seats; -- '").is_err());
    assert!(split("SELECT 1 ~/* ' */ 2").is_err());
}
