use crate::call;

#[test]
fn a_call_needs_its_method() {
    let uri = "/v1/kv/a%20b?cas=3".parse().unwrap();
    let parse = |method| call::Call::parse(&method, &uri, "x".into());
    let call = parse(hyper::Method::PUT).unwrap();
    assert_eq!((call.kind, call.key.as_str()), (call::Kind::Swap, "a b"));
    assert_eq!(call.number("cas").unwrap(), 3);
    let uri = "/v1/session/create".parse().unwrap();
    assert!(call::Call::parse(&hyper::Method::GET, &uri, "".into()).is_none());
}
