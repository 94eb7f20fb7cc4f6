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
fn the_list_lags() {
    let second = time::Duration::from_secs(1);
    let state = platform::State {
        lag: second * 5,
        listings: vec![(second, listing("old")), (second * 10, listing("new"))],
        ..platform::State::default()
    };
    assert_eq!(state.listed(second * 2), listing("old"));
    assert_eq!(state.listed(second * 14), listing("old"));
    assert_eq!(state.listed(second * 15), listing("new"));
}
