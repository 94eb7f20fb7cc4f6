use std::sync;

use crate::cluster;
use crate::platform;
use crate::remote::{Group, Platform, listings};

type Executor = sync::Arc<async_executor::Executor<'static>>;

fn group(executor: &Executor) -> Group {
    Group(cluster::Cluster::start(cluster::Options::default(), executor).unwrap())
}

#[test]
fn group_commands() {
    let group = group(&Executor::default());
    assert_eq!(group.run("crash 0").unwrap(), "done");
    assert_eq!(group.run("restart 0").unwrap(), "done");
    assert_eq!(group.run("lag 1 2s").unwrap(), "done");
    assert_eq!(group.run("sql 2 SELECT 1 + 1").unwrap(), "2");
    assert!(
        group
            .run("status")
            .unwrap()
            .starts_with("0 Replica stamp 0/0")
    );
}

#[test]
fn wrong_group_commands_are_refused() {
    let group = group(&Executor::default());
    for line in [
        "explode 0",
        "crash",
        "crash 3",
        "crash primary",
        "lag 0 soon",
        "",
    ] {
        assert!(group.run(line).is_err(), "{line:?}");
    }
}

#[test]
fn platform_commands() {
    let executor = Executor::default();
    let options = platform::Options::default();
    let platform = Platform(platform::Platform::start(options, &executor).unwrap());
    for line in [
        "outage on",
        "outage off",
        "delay 5ms",
        "lose 0.5",
        "vms a@x b@y@leaving",
    ] {
        assert_eq!(platform.run(line).unwrap(), "done", "{line:?}");
    }
    assert_eq!(platform.run("calls").unwrap(), "0");
    for line in ["outage", "outage maybe", "lose all", "vms a", "reboot"] {
        assert!(platform.run(line).is_err(), "{line:?}");
    }
}

#[test]
fn listings_mark_leaving_vms() {
    let all = listings(["a@x", "b@y@leaving"]).unwrap();
    let leaving: Vec<_> = all.iter().map(|listing| listing.leaving).collect();
    assert_eq!(leaving, [false, true]);
    assert!(listings(["a@x@gone"]).is_err());
}
