use proptest::prelude::*;

use crate::revision;

proptest! {
    // Symptom: a node serves by a file that was replaced.
    // Events: pushes, exchanges and direct reads arrive in any order.
    // Cause: a late message would overwrite a newer revision.
    #[test]
    fn a_node_never_adopts_an_older_revision(offers in prop::collection::vec((0..6_u64, "[ab]"), 0..40)) {
        let mut state = revision::State::default();
        let mut newest = 0;
        for (revision, text) in offers {
            let before = state.clone();
            let offer = state.offer(revision, &text);
            newest = newest.max(revision);
            prop_assert_eq!(state.digest().revision, newest);
            prop_assert_eq!(offer == revision::Offer::Adopted, state != before);
        }
    }
}
