use std::time;

use mangotray::store;

use crate::platform;

fn listing(vm: &str) -> Vec<store::Listing> {
    vec![store::Listing {
        vm: vm.into(),
        domain: "a".into(),
        leaving: false,
    }]
}

#[test]
fn the_vm_list_is_delayed_by_the_lag() {
    let second = time::Duration::from_secs(1);
    let state = platform::State {
        list_lag: second * 5,
        listing_history: vec![(second, listing("old")), (second * 10, listing("new"))],
        ..platform::State::default()
    };
    assert_eq!(state.visible_listings(second * 2), listing("old"));
    assert_eq!(state.visible_listings(second * 14), listing("old"));
    assert_eq!(state.visible_listings(second * 15), listing("new"));
}
