//! Registration of a proxy for the test of its graceful shutdown.

use std::net;
use std::sync;

use mangotray::clock;
use mangotray::enrol;

use crate::harness;
use crate::proxy;

/// Starts the registration of a proxy and the task that renews it.
pub fn enrolment(harness: &harness::Harness, proxy: &proxy::Proxy) -> sync::Arc<enrol::Enrolment> {
    let address = net::SocketAddr::from(([127, 0, 0, 1], 1));
    let record = enrol::Record {
        vm: vm_name(proxy).into(),
        domain: "x".into(),
        incarnation: 1,
        callers: address,
        peers: address,
        admin: address,
        draining: false,
        lease: None,
    };
    let clock: sync::Arc<dyn clock::Clock> = harness.cluster.clock.clone();
    let client = sync::Arc::new(harness.client(proxy.number));
    let enrolment = sync::Arc::new(enrol::Enrolment::new(client, clock, record));
    let renewal = enrolment.clone();
    let run = async move { renewal.run().await };
    harness.spawn(proxy.process.run(run));
    enrolment
}

/// Returns the key of a proxy's registration in the store.
pub fn registration_key(proxy: &proxy::Proxy) -> String {
    enrol::key(&vm_name(proxy)).into()
}

fn vm_name(proxy: &proxy::Proxy) -> String {
    format!("entry-{}", proxy.number)
}
