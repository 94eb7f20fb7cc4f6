//! Short measured runs with real proxies; they assert guarantees, not speed.

use std::time;

use mangotray::policy;
use mangotray_lab::fault;
use mangotray_lab::profile;
use mangotray_lab::run;

fn run(faults: &[&str]) -> mangotray_lab::report::Report {
    let faults = faults.iter().map(|text| text.parse::<fault::Fault>());
    let run = run::Run {
        program: env!("CARGO_BIN_EXE_mangotray-lab").into(),
        profile: profile::Profile {
            groups: 1,
            callers: 6,
            deadline: time::Duration::from_secs(5),
            ..profile::Profile::tarapath()
        },
        proxies: 2,
        duration: time::Duration::from_secs(6),
        seed: 11,
        faults: faults.collect::<Result<_, _>>().unwrap(),
        policy: policy::Policy::Default,
    };
    run.execute().unwrap()
}

#[test]
fn quiet() {
    let report = run(&[]);
    assert!(!report.is_violated(), "{report:?}");
    assert!(
        report.confirmed > 0 && report.reads_per_s > 0.0,
        "{report:?}"
    );
}

#[test]
fn primary_lost() {
    // Guards against confirmed writes that are missing or doubled after a promotion: the primary
    // crashes during writes, and restarts with its old log while another instance is primary.
    // Writes are lost if they are confirmed before a majority has the record, and doubled if
    // they are sent again after an unknown outcome.
    let report = run(&["primary-crash@1+2"]);
    assert!(!report.is_violated(), "{report:?}");
    assert!(report.failover_gap_ms.is_some(), "{report:?}");
}
