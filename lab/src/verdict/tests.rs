use crate::profile;
use crate::verdict::{Counter, Own, Verdict};

const STALE: Verdict = Verdict {
    foreign: false,
    stale: true,
};

fn own(echo: &str, caller: &str, sequence: u32) -> Own {
    Own {
        echo: echo.into(),
        caller: caller.into(),
        sequence,
    }
}

fn counters(echo: &str, taken: usize) -> Vec<Counter> {
    (profile::PROBER_ITEM..=profile::ITEMS)
        .map(|item| Counter {
            echo: echo.into(),
            item,
            taken,
        })
        .collect()
}

#[test]
fn own_rows_may_hold_more_than_was_confirmed() {
    let rows = [own("r", "a", 1), own("r", "a", 2)];
    assert_eq!(Verdict::own(&rows, "r", "a", [2]), Verdict::default());
}

#[test]
fn own_row_missing() {
    // Symptom: a clerk does not find a booking that was just confirmed.
    // Events: the read went to a replica that had not applied the record yet.
    // Cause: an instance chosen by an observation older than the confirmation.
    let rows = [own("r", "a", 1)];
    assert_eq!(Verdict::own(&rows, "r", "a", [1, 2]), STALE);
}

#[test]
fn answer_to_another_request_or_caller() {
    // Symptom: rows of somebody else.
    // Events: an answer that came after its request was given up reached the next one.
    // Cause: a connection used again while an answer was still on its way.
    for row in [own("q", "a", 1), own("r", "b", 1)] {
        assert_eq!(Verdict::own(&[row], "r", "a", []), Verdict::FOREIGN);
    }
}

#[test]
fn detail() {
    let row = |echo: &str, item| Counter {
        echo: echo.into(),
        item,
        taken: 4,
    };
    assert_eq!(
        Verdict::detail(&[row("r", 3)], "r", 3, 4),
        Verdict::default()
    );
    assert_eq!(Verdict::detail(&[row("r", 3)], "r", 3, 5), STALE);
    assert_eq!(Verdict::detail(&[row("q", 3)], "r", 3, 0), Verdict::FOREIGN);
    assert_eq!(Verdict::detail(&[row("r", 2)], "r", 3, 0), Verdict::FOREIGN);
    assert_eq!(Verdict::detail(&[], "r", 3, 0), Verdict::FOREIGN);
}

#[test]
fn list() {
    assert_eq!(
        Verdict::list(&counters("r", 2), "r", |_| 2),
        Verdict::default()
    );
    let newest = |item| usize::from(item == profile::ITEMS) * 3;
    assert_eq!(Verdict::list(&counters("r", 2), "r", newest), STALE);
    assert_eq!(
        Verdict::list(&counters("q", 2), "r", |_| 0),
        Verdict::FOREIGN
    );
}

#[test]
fn list_cut_short() {
    // Symptom: a calendar without its last shows, taken for the whole one.
    // Events: the upstream's connection ended in the middle of the rows.
    // Cause: rows relayed before the answer was whole.
    let rows = counters("r", 2);
    let cut = &rows[..rows.len() - 1];
    assert_eq!(Verdict::list(cut, "r", |_| 0), Verdict::FOREIGN);
}
