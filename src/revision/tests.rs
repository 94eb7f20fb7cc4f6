use proptest::prelude::*;

use crate::revision;

proptest! {
    // Guards against a node using a configuration that was already replaced. Pushes, exchanges
    // and direct reads arrive in any order, so a delayed message could overwrite a newer
    // revision.
    #[test]
    fn revisions_never_go_back(offers in prop::collection::vec((0..6_u64, "[ab]"), 0..40)) {
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
