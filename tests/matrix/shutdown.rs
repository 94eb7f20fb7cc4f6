//! Graceful shutdown of one proxy, as its daemon does it.

use std::net;
use std::sync;

use mangotray::clock;
use mangotray::enrol;

use crate::proxy;
use crate::scene;

/// Registration of a proxy.
pub fn enrolment(scene: &scene::Scene, proxy: &proxy::Proxy) -> sync::Arc<enrol::Enrolment> {
    let address = net::SocketAddr::from(([127, 0, 0, 1], 1));
    let record = enrol::Record {
        vm: name(proxy).into(),
        domain: "x".into(),
        incarnation: 1,
        callers: address,
        peers: address,
        admin: address,
        draining: false,
        lease: None,
    };
    let clock: sync::Arc<dyn clock::Clock> = scene.world.clock.clone();
    let client = sync::Arc::new(scene.client(proxy.number));
    let enrolment = sync::Arc::new(enrol::Enrolment::new(client, clock, record));
    let renewing = enrolment.clone();
    let run = async move { renewing.run().await };
    scene.spawn(proxy.life.work(run));
    enrolment
}

/// Key of its registration.
pub fn key(proxy: &proxy::Proxy) -> String {
    enrol::key(&name(proxy)).into()
}

fn name(proxy: &proxy::Proxy) -> String {
    format!("entry-{}", proxy.number)
}
