use crate::profile;
use crate::verdict::{Counter, OwnRow, Verdict};

const STALE: Verdict = Verdict {
    foreign: false,
    stale: true,
};

fn own(echo: &str, caller: &str, sequence: u32) -> OwnRow {
    OwnRow {
        echo: echo.into(),
        caller: caller.into(),
        sequence,
    }
}

fn counters(echo: &str, count: usize) -> Vec<Counter> {
    (profile::PROBER_ITEM..=profile::ITEMS)
        .map(|item| Counter {
            echo: echo.into(),
            item,
            count,
        })
        .collect()
}

#[test]
fn own_rows_may_include_unconfirmed_writes() {
    let rows = [own("r", "a", 1), own("r", "a", 2)];
    assert_eq!(Verdict::own_rows(&rows, "r", "a", [2]), Verdict::default());
}

#[test]
fn a_missing_own_row_is_stale() {
    // A caller does not find a write that was just confirmed. This happens when the instance
    // is chosen by an observation older than the confirmation, and the read runs on a replica
    // that has not applied the record yet.
    let rows = [own("r", "a", 1)];
    assert_eq!(Verdict::own_rows(&rows, "r", "a", [1, 2]), STALE);
}

#[test]
fn an_answer_to_another_request_or_caller_is_foreign() {
    // A caller receives rows of another request. This happens when a connection is used again
    // while the answer to an abandoned request is still to come.
    for row in [own("q", "a", 1), own("r", "b", 1)] {
        assert_eq!(Verdict::own_rows(&[row], "r", "a", []), Verdict::FOREIGN);
    }
}

#[test]
fn item_counter() {
    let row = |echo: &str, item| Counter {
        echo: echo.into(),
        item,
        count: 4,
    };
    assert_eq!(Verdict::item(&[row("r", 3)], "r", 3, 4), Verdict::default());
    assert_eq!(Verdict::item(&[row("r", 3)], "r", 3, 5), STALE);
    assert_eq!(Verdict::item(&[row("q", 3)], "r", 3, 0), Verdict::FOREIGN);
    assert_eq!(Verdict::item(&[row("r", 2)], "r", 3, 0), Verdict::FOREIGN);
    assert_eq!(Verdict::item(&[], "r", 3, 0), Verdict::FOREIGN);
}

#[test]
fn listing() {
    assert_eq!(
        Verdict::listing(&counters("r", 2), "r", |_| 2),
        Verdict::default()
    );
    let newest = |item| usize::from(item == profile::ITEMS) * 3;
    assert_eq!(Verdict::listing(&counters("r", 2), "r", newest), STALE);
    assert_eq!(
        Verdict::listing(&counters("q", 2), "r", |_| 0),
        Verdict::FOREIGN
    );
}

#[test]
fn a_truncated_listing_is_foreign() {
    // A listing lacks its last rows and is taken for complete. This happens when rows are
    // relayed before the answer is complete, and the upstream connection then ends.
    let rows = counters("r", 2);
    let cut = &rows[..rows.len() - 1];
    assert_eq!(Verdict::listing(cut, "r", |_| 0), Verdict::FOREIGN);
}
