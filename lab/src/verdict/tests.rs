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
    // Symptom: a clerk does not find a booking that was just confirmed.
    // Events: the read went to a replica that had not applied the record yet.
    // Cause: an instance chosen by an observation older than the confirmation.
    let rows = [own("r", "a", 1)];
    assert_eq!(Verdict::own_rows(&rows, "r", "a", [1, 2]), STALE);
}

#[test]
fn an_answer_to_another_request_or_caller_is_foreign() {
    // Symptom: rows of somebody else.
    // Events: an answer that came after its request was given up reached the next one.
    // Cause: a connection used again while an answer was still on its way.
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
    // Symptom: a calendar without its last shows, taken for the whole one.
    // Events: the upstream's connection ended in the middle of the rows.
    // Cause: rows relayed before the answer was whole.
    let rows = counters("r", 2);
    let cut = &rows[..rows.len() - 1];
    assert_eq!(Verdict::listing(cut, "r", |_| 0), Verdict::FOREIGN);
}
