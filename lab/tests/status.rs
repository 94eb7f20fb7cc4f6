//! Status and metrics of real proxies after a failover.

use std::io::Read;
use std::io::Write;
use std::net;
use std::time;

use mangotray::admin;
use mangotray::policy;
use mangotray_lab::environment;
use mangotray_lab::profile;
use mangotray_lab::proxy;
use mangotray_lab::ready;

const TIMEOUT: time::Duration = time::Duration::from_mins(1);

fn status(admin: net::SocketAddr) -> admin::Status {
    async_io::block_on(admin::fetch(admin, TIMEOUT)).unwrap()
}

fn metrics(admin: net::SocketAddr) -> String {
    let mut stream = net::TcpStream::connect(admin).unwrap();
    let request = b"GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    stream.write_all(request).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

// Guards against a status that reports no promotion and no failover gap after the primary has
// crashed and a proxy has promoted another instance, because it has constants in place of the
// measured values.
#[test]
fn status_and_metrics_report_a_failover() {
    let profile = profile::Profile {
        deadline: time::Duration::from_secs(5),
        ..profile::Profile::tarapath()
    };
    let any = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
    let options = environment::Options {
        program: env!("CARGO_BIN_EXE_mangotray-lab").into(),
        profile: profile.clone(),
        groups: 1,
        caller_addresses: vec![any, any],
        policy: policy::Policy::Default,
    };
    let environment = environment::Environment::start(&options).unwrap();
    ready::wait(
        &profile,
        &[profile.group(0)],
        &environment.caller_addresses,
        TIMEOUT,
    )
    .unwrap();
    let admins: Vec<_> = environment
        .proxies
        .iter()
        .flatten()
        .map(proxy::Proxy::admin_address)
        .collect();
    let groups = || {
        let statuses = admins.iter().map(|admin| status(*admin));
        statuses
            .flat_map(|status| status.groups)
            .collect::<Vec<_>>()
    };
    let promotions = || groups().iter().map(|group| group.promotions).sum::<u64>();
    let before = promotions();

    environment.clusters[0].crash(environment.primary(0).unwrap());
    let reported = || {
        let measured = groups()
            .iter()
            .any(|group| group.last_failover_gap_ms > Some(0));
        promotions() > before && measured
    };
    assert!(environment::wait_until(TIMEOUT, reported), "{:?}", groups());

    // The metrics of a proxy must include everything that its status reports. A proxy that has
    // taken no seats yet reports no group, so reported groups are counted instead of proxies.
    let mut checked = 0;
    for admin in &admins {
        let status = status(*admin);
        let text = metrics(*admin);
        for group in &status.groups {
            assert_metrics_report(group, &text);
            checked += 1;
        }
        assert!(text.contains("mangotray_config_revision 1"), "{text}");
    }
    assert!(checked > 0);
    environment.stop();
}

fn assert_metrics_report(group: &admin::Group, text: &str) {
    let label = format!("{{group=\"{}\"", group.name);
    let gap = group.last_failover_gap_ms.is_some();
    let expected = [
        ("mangotray_promotions_total", group.promotions > 0),
        ("mangotray_failover_gap_seconds_count", gap),
        ("mangotray_queue_depth", true),
        ("mangotray_upstream_connections", true),
    ];
    for (name, _) in expected.iter().filter(|(_, is_reported)| *is_reported) {
        assert!(text.contains(&format!("{name}{label}")), "{name}: {text}");
    }
}
