//! Checks the lists of function names; binary search needs a sorted list.

#[test]
fn names_allowed_in_reads_are_sorted_and_unique() {
    assert!(
        super::ALLOWED_IN_READS
            .windows(2)
            .all(|pair| pair[0] < pair[1])
    );
}

#[test]
fn no_function_of_a_session_or_connection_is_allowed_in_reads() {
    let refused = super::SESSION_FUNCTIONS
        .iter()
        .chain(super::CONNECTION_FUNCTIONS);
    assert!(
        refused
            .copied()
            .all(|name| !super::is_allowed_in_reads(name))
    );
}
