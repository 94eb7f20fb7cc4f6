use crate::command::explain;
use crate::declaration;

const FILE: &str = "[group dome-1]\ndatabase = dome\n\
    instances = a@x:10.0.0.1:5, b@y:10.0.0.2:5, c@z:10.0.0.3:5\n\
    connections = 20\nslots = 3\ndeadline = 2s\n\
    [age dome-1 calendar]\ntables = public.Shows, calendar\nlimit = 5s\n\
    [age dome-1 halls]\ntables = halls\nlimit = 1s\n";

fn explanation(sql: &str) -> String {
    let catalog = declaration::Declaration::parse(FILE).unwrap().catalog;
    explain::explain(sql, catalog.groups.first()).join("\n")
}

#[test]
fn a_read_lists_its_tables_and_the_smallest_of_their_age_limits() {
    let text = explanation("SELECT * FROM shows JOIN halls ON true");
    assert!(text.contains("class: read"), "{text}");
    assert!(text.contains("tables: halls, shows"), "{text}");
    assert!(text.contains("age: may be 1s old"), "{text}");
    let text = explanation("SELECT * FROM shows, seats");
    assert!(text.contains("age: fresh only"), "{text}");
}

#[test]
fn each_class_names_the_place_of_execution() {
    let cases = [
        (
            "UPDATE seats SET taken = true",
            "class: write",
            "runs on: the primary",
        ),
        (
            "SELECT * FROM seats FOR UPDATE",
            "class: write",
            "runs on: the primary",
        ),
        ("BEGIN", "class: begin", "runs on: the primary"),
        ("BEGIN READ ONLY", "class: begin read-only", "fresh enough"),
        (
            "COMMIT",
            "class: commit",
            "the connection of the transaction",
        ),
        ("SHOW mangotray.token", "class: none", "no upstream"),
        ("LISTEN shows", "class: refused", "sqlstate: 0A000"),
        (" ; ", "class: none", "no statement"),
        (
            "COMMIT; INSERT INTO seats VALUES (1)",
            "class: write",
            "a lost answer leaves open",
        ),
    ];
    for (sql, class, words) in cases {
        let text = explanation(sql);
        assert!(text.starts_with(class), "{sql}: {text}");
        assert!(text.contains(words), "{sql}: {text}");
    }
}
