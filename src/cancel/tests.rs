use futures_util::FutureExt;

use super::Registry;

#[test]
fn wrong_secret_cancels_nothing() {
    let registry = Registry::new();
    let handle = registry.register();
    assert!(!registry.cancel(handle.pid(), handle.secret().wrapping_add(1)));
    assert!(handle.wait().now_or_never().is_none());
}

#[test]
fn a_session_that_ended_cannot_be_canceled() {
    let registry = Registry::new();
    let handle = registry.register();
    let (pid, secret) = (handle.pid(), handle.secret());
    drop(handle);
    assert!(!registry.cancel(pid, secret));
}

#[test]
fn cancels_reach_only_their_session() {
    let registry = Registry::new();
    let handles: Vec<_> = (0..100).map(|_| registry.register()).collect();
    assert!(registry.cancel(handles[42].pid(), handles[42].secret()));
    let canceled = handles
        .iter()
        .filter(|handle| handle.discard_pending())
        .count();
    assert_eq!(canceled, 1);
}
