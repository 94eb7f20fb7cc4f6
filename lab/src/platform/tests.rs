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

#[test]
fn a_call_needs_its_method() {
    let uri = "/v1/kv/a%20b?cas=3".parse().unwrap();
    let parse = |method| platform::Call::parse(&method, &uri, "x".into());
    let call = parse(hyper::Method::PUT).unwrap();
    assert_eq!(
        (call.kind, call.key.as_str()),
        (platform::Kind::Swap, "a b")
    );
    assert_eq!(call.number("cas").unwrap(), 3);
    let uri = "/v1/session/create".parse().unwrap();
    assert!(platform::Call::parse(&hyper::Method::GET, &uri, "".into()).is_none());
}
