//! The lists are searched by bisection, so their order matters.

#[test]
fn pure_list_is_sorted_and_has_no_duplicates() {
    assert!(super::PURE.windows(2).all(|pair| pair[0] < pair[1]));
}

#[test]
fn no_function_is_both_pure_and_tied_to_a_connection() {
    let tied = super::SESSION.iter().chain(super::BOUND);
    assert!(tied.copied().all(|name| !super::pure(name)));
}
