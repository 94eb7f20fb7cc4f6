//! Checks of a configuration on the model. Guards against mistakes of operators that are noticed
//! only when callers are refused.

use std::time;

use mangotray_desk::access;
use mangotray_desk::catalog;
use mangotray_desk::configuration::check;
use mangotray_desk::configuration::document;
use mangotray_desk::configuration::finding;
use mangotray_desk::key;
use mangotray_desk::validity;

fn millis(count: u64) -> time::Duration {
    time::Duration::from_millis(count)
}

fn route(database: &str) -> document::Route {
    document::Route {
        database: database.into(),
        group: "core".into(),
        kind: document::Kind::BoundedStale,
        staleness_ms: 1500.0,
        timeout: millis(2000),
        objective_ms: 250.0,
        priority: 1,
        public: false,
    }
}

fn service(group: &str) -> catalog::Service {
    catalog::Service {
        group: group.into(),
        connections: 56,
        sync: 1,
    }
}

fn organisation(name: &str, keys: &[&str]) -> document::Organisation {
    document::Organisation {
        name: name.into(),
        keys: keys.iter().map(|key| key::Key::new(key)).collect(),
        rate: Some(20.0),
        burst: Some(40.0),
    }
}

/// A configuration without errors and warnings.
fn valid() -> document::Document {
    document::Document {
        version: 7,
        routes: vec![route("clinic"), route("slots")],
        services: vec![service("core")],
        transaction_idle: Some(millis(3000)),
        organisations: Some(vec![
            organisation("dome", &["key-of-dome"]),
            organisation("hall", &["key-of-hall"]),
        ]),
    }
}

fn lines(proposed: &document::Document, in_force: Option<&document::Document>) -> Vec<String> {
    let findings = check::check(proposed, in_force);
    findings.iter().map(ToString::to_string).collect()
}

/// Findings of the valid configuration after `edit`, with none in force.
fn after(edit: impl FnOnce(&mut document::Document)) -> Vec<String> {
    let mut proposed = valid();
    edit(&mut proposed);
    lines(&proposed, None)
}

/// Findings of the valid configuration after `edit`, as the next version.
fn changes(edit: impl FnOnce(&mut document::Document)) -> Vec<String> {
    let mut proposed = valid();
    proposed.version += 1;
    edit(&mut proposed);
    lines(&proposed, Some(&valid()))
}

fn organisations(document: &mut document::Document) -> &mut Vec<document::Organisation> {
    document.organisations.as_mut().expect("organisations")
}

#[test]
fn a_valid_configuration_has_no_findings() {
    assert_eq!(after(|_| ()), [""; 0]);
    assert_eq!(changes(|_| ()), [""; 0]);
    assert_eq!(after(|document| document.organisations = None), [""; 0]);
}

/// Guards against a configuration that nodes reject or ignore, or that cannot serve.
#[test]
fn each_error_is_found() {
    for version in [6, 7] {
        let mut proposed = valid();
        proposed.version = version;
        let expected = format!(
            "error: version {version} is not higher than version 7 in force, so nodes ignore it"
        );
        assert_eq!(lines(&proposed, Some(&valid())), [expected]);
    }
    assert_eq!(
        after(|document| {
            document.routes.clear();
            document.services.clear();
        }),
        ["error: the configuration has no routes"]
    );
    assert_eq!(
        after(|document| document.routes.push(route("clinic"))),
        ["error: route clinic is defined twice"]
    );
    assert_eq!(
        after(|document| document.services.push(service("core"))),
        ["error: service core is defined twice"]
    );
    assert_eq!(
        after(|document| document.routes[0].group = "cor".into()),
        ["error: route clinic refers to service cor, which is not defined"]
    );
    assert_eq!(
        after(|document| {
            document.routes[0].timeout = time::Duration::ZERO;
            document.routes[0].objective_ms = 0.0;
        }),
        ["error: route clinic has a timeout of 0"]
    );
    assert_eq!(
        after(|document| organisations(document).push(organisation("dome", &["another"]))),
        ["error: organisation dome is defined twice"]
    );
    let fingerprint = key::Key::new("key-of-dome").fingerprint();
    assert_eq!(
        after(|document| organisations(document)[1]
            .keys
            .push(key::Key::new("key-of-dome"))),
        [format!(
            "error: organisations dome and hall hold the same key {fingerprint}"
        )]
    );
    for name in ["", "the dome", "mangotray"] {
        let shown = if name.is_empty() { "\"\"" } else { name };
        assert_eq!(
            after(|document| organisations(document)[0].name = name.into()),
            [format!(
                "error: organisation {shown} has an invalid name: it is empty, contains white \
                 space or is reserved"
            )]
        );
    }
    for (rate, burst) in [
        (-1.0, 40.0),
        (20.0, -1.0),
        (f64::NAN, 40.0),
        (20.0, f64::INFINITY),
    ] {
        assert_eq!(
            after(|document| {
                organisations(document)[1].rate = Some(rate);
                organisations(document)[1].burst = Some(burst);
            }),
            ["error: rate or burst of organisation hall is negative or too large"]
        );
    }
}

/// Guards against a check that accepts organisations that nodes reject, or the reverse.
#[test]
fn the_check_and_the_node_agree_on_organisations() {
    let mut random = fastrand::Rng::with_seed(7);
    let names = ["dome", "hall", "bell", "tower", "mangotray", "a b", ""];
    let keys = ["k1", "k2", "k3", "k4", "k5", "k6", "k7", "k8", ""];
    let (mut accepted, mut rejected) = (0, 0);
    for _ in 0..2000 {
        let mut proposed = valid();
        let entries = (0..random.usize(0..4)).map(|_| {
            let held: Vec<_> = (0..random.usize(0..3))
                .map(|_| *random.choice(&keys).expect("a key"))
                .collect();
            let name = random.choice(&names[..]).expect("a name");
            let mut entry = organisation(name, &held);
            entry.rate = random.bool().then(|| random.f64() * 20.0 - 1.0);
            entry.burst = random.bool().then(|| random.f64() * 20.0 - 1.0);
            entry
        });
        proposed.organisations = Some(entries.collect());
        let findings = check::check(&proposed, None);
        let errors = findings
            .iter()
            .filter(|finding| finding.severity == finding::Severity::Error);
        let errors = errors.count();
        let rejects = proposed.clone().into_catalog().is_err();
        assert_eq!(errors > 0, rejects, "{proposed:?}: {findings:?}");
        if rejects {
            rejected += 1;
        } else {
            accepted += 1;
        }
    }
    assert!(accepted > 100 && rejected > 100, "{accepted}, {rejected}");
}

/// Guards against entries without effect that their author believes to be in force.
#[test]
fn entries_that_never_match_are_warned_of() {
    assert_eq!(
        after(|document| document.services.push(service("spare"))),
        ["warning: no route refers to service spare"]
    );
    assert_eq!(
        after(|document| organisations(document)[0].keys.clear()),
        ["warning: organisation dome has no keys, so no caller belongs to it"]
    );
    assert_eq!(
        after(|document| organisations(document)[0].keys.push(key::Key::new(""))),
        ["warning: organisation dome has an empty key, so callers that send no key belong to it"]
    );
    assert_eq!(
        after(|document| document
            .routes
            .iter_mut()
            .for_each(|route| route.public = true)),
        ["warning: all routes are public, so no caller is asked for a key"]
    );
    assert_eq!(
        after(|document| document.routes[0].public = true),
        [""; 0],
        "another route needs keys"
    );
    assert_eq!(
        after(|document| {
            document.routes[1].kind = document::Kind::Unknown("stale".into());
            document.routes[1].staleness_ms = 0.0;
        }),
        ["warning: route slots has the unknown kind stale; its reads go to the primary"]
    );
}

/// Guards against a warning about empty keys that says what nodes do not do.
#[test]
fn callers_without_a_key_belong_to_an_organisation_with_an_empty_key() {
    let mut document = valid();
    organisations(&mut document)[0].keys.push(key::Key::new(""));
    let catalog = document.into_catalog().expect("a catalog");
    let key = key::Key::new("");
    let caller = access::identify(&catalog, false, &key, validity::State::Valid);
    assert_eq!(caller.expect("an organisation").organisation, "dome");
}

/// Guards against a warning that repeats what an error says of the same entry.
#[test]
fn a_timeout_of_0_is_one_finding() {
    assert_eq!(
        after(|document| {
            document.routes[0].timeout = time::Duration::ZERO;
            document.routes[0].objective_ms = 250.0;
        }),
        ["error: route clinic has a timeout of 0"]
    );
}

/// Guards against limits that contradict each other and refuse or delay callers.
#[test]
fn contradicting_limits_are_warned_of() {
    assert_eq!(
        after(|document| document.routes[0].objective_ms = 2000.5),
        ["warning: the objective 2.0005s of route clinic is above its timeout 2s"]
    );
    assert_eq!(
        after(|document| document.routes[0].objective_ms = -1.0),
        ["warning: the objective of route clinic is not a valid time; nodes read it as 0"]
    );
    assert_eq!(
        after(|document| document.routes[0].kind = document::Kind::Primary),
        [
            "warning: the staleness bound 1.5s of route clinic has no effect: its reads go to the \
             primary"
        ]
    );
    for kind in [document::Kind::BoundedStale, document::Kind::ReadOwn] {
        assert_eq!(
            after(|document| {
                document.routes[0].kind = kind;
                document.routes[0].staleness_ms = 0.0;
            }),
            [
                "warning: the staleness bound of route clinic is 0: only the primary can serve its \
                 reads, and replicas stay idle"
            ]
        );
    }
    assert_eq!(
        after(|document| document.routes[0].staleness_ms = 1e300),
        ["warning: the staleness bound of route clinic is not a valid time; nodes read it as 0"]
    );
    assert_eq!(
        after(|document| document.services[0].connections = 0),
        [
            "warning: service core has 0 connections for each instance; nodes read it as no bound, \
             and each node connects directly"
        ]
    );
    assert_eq!(
        after(|document| document.services[0].connections = 3),
        [
            "warning: service core has 3 connections for each instance, fewer than 4: each lending \
             node needs one for control and one for a read"
        ]
    );
    assert_eq!(
        after(|document| document.services[0].connections = 4),
        [""; 0]
    );
    let limit = |rate, burst| {
        after(|document| {
            organisations(document)[0].rate = rate;
            organisations(document)[0].burst = burst;
        })
    };
    assert_eq!(
        limit(Some(20.0), Some(0.5)),
        ["warning: organisation dome has a burst of 0.5, below one operation"]
    );
    assert_eq!(
        limit(Some(0.5), None),
        ["warning: organisation dome has a burst of 0.5, below one operation"]
    );
    assert_eq!(
        limit(Some(0.0), Some(40.0)),
        [
            "warning: organisation dome has a rate of 0 and a burst of 40: after the first \
             operations no more are allowed"
        ]
    );
    assert_eq!(
        limit(Some(0.0), None),
        ["warning: organisation dome has a rate and burst of 0: no operations are allowed"]
    );
    assert_eq!(
        limit(None, Some(40.0)),
        ["warning: organisation dome has a burst of 40 without a rate, so it has no limit"]
    );
    assert_eq!(limit(None, None), [""; 0]);
    assert_eq!(
        after(|document| document.transaction_idle = Some(time::Duration::ZERO)),
        ["warning: the idle timeout of transactions is 0"]
    );
    assert_eq!(
        after(|document| {
            document.routes[1].timeout = millis(2500);
            document.transaction_idle = Some(millis(1999));
        }),
        [
            "warning: the idle timeout of transactions 1.999s is below the timeout of 2 routes, \
             the longest being 2.5s of route slots"
        ]
    );
    assert_eq!(after(|document| document.transaction_idle = None), [""; 0]);
}

/// Guards against an operator who does not see what a configuration changes.
#[test]
fn changed_routes_and_services_are_listed_by_field() {
    assert_eq!(
        changes(|document| {
            let route = &mut document.routes[0];
            route.timeout = millis(2500);
            route.objective_ms = 300.0;
            route.priority = 2;
            route.staleness_ms = 2000.0;
            route.public = true;
            route.group = "annex".into();
            document.services[0].connections = 60;
            document.services[0].sync = 2;
            document.services.push(service("annex"));
        }),
        [
            "change: route clinic: service core -> annex",
            "change: route clinic: timeout 2s -> 2.5s",
            "change: route clinic: objective 250ms -> 300ms",
            "change: route clinic: priority 1 -> 2",
            "change: route clinic: staleness bound 1.5s -> 2s",
            "change: route clinic: public false -> true",
            "change: service annex is added: connections 56, replicas that confirm 1",
            "change: service core: connections 56 -> 60",
            "change: service core: replicas that confirm 1 -> 2",
        ]
    );
    assert_eq!(
        changes(|document| document.routes.push(route("beds"))),
        [
            "change: route beds is added: service core, kind bounded stale, timeout 2s, objective \
             250ms, priority 1, staleness bound 1.5s, public false"
        ]
    );
    assert_eq!(
        changes(|document| document.routes.reverse()),
        [""; 0],
        "the order of entries has no meaning"
    );
}

/// Guards against a change that refuses, delays or stales somebody's work without being marked.
#[test]
fn harmful_changes_of_routes_and_services_are_marked() {
    assert_eq!(
        changes(|document| drop(document.routes.remove(0))),
        ["change: route clinic is removed (harmful: callers of this database are refused)"]
    );
    assert_eq!(
        changes(|document| document.routes[0].timeout = millis(1500)),
        ["change: route clinic: timeout 2s -> 1.5s (harmful: longer statements time out)"]
    );
    assert_eq!(
        changes(|document| document.routes[0].staleness_ms = 1000.0),
        [
            "change: route clinic: staleness bound 1.5s -> 1s (harmful: fewer replicas can serve \
             its reads)"
        ]
    );
    assert_eq!(
        changes(|document| {
            document.routes[0].kind = document::Kind::Primary;
            document.routes[0].staleness_ms = 0.0;
        }),
        [
            "change: route clinic: kind bounded stale -> primary (harmful: fewer replicas can \
             serve its reads)",
            "change: route clinic: staleness bound 1.5s -> 0",
        ]
    );
    assert_eq!(
        changes(|document| document.routes[0].kind = document::Kind::ReadOwn),
        ["change: route clinic: kind bounded stale -> read own"]
    );
    assert_eq!(
        changes(|document| document.services[0].connections = 46),
        [
            "change: service core: connections 56 -> 46 (harmful: fewer connections to each of its \
             instances)"
        ]
    );
    let mut before = valid();
    before.services.push(service("annex"));
    before.routes[0].public = true;
    before.transaction_idle = None;
    let mut proposed = valid();
    proposed.version += 1;
    assert_eq!(
        lines(&proposed, Some(&before)),
        [
            "change: route clinic: public true -> false (harmful: callers without a key are \
             refused)",
            "change: service annex is removed (harmful: its instances serve nobody)",
            "change: idle timeout of transactions none -> 3s (harmful: transactions that are idle \
             for longer may be ended)",
        ]
    );
    assert_eq!(
        lines(
            &document::Document {
                version: 8,
                ..before.clone()
            },
            Some(&valid())
        )
        .last()
        .expect("a change"),
        "change: idle timeout of transactions 3s -> none"
    );
}

/// Guards against a key that is printed, and against a revoked key or a lowered limit that is not
/// marked.
#[test]
fn changes_of_organisations_show_fingerprints_and_limits() {
    let fingerprint = |key: &str| key::Key::new(key).fingerprint();
    let (dome, fresh) = (fingerprint("key-of-dome"), fingerprint("fresh-key"));
    let lowered = "harmful: more operations are refused, from one window after the configuration \
                   is in force everywhere";
    assert_eq!(
        changes(|document| {
            let organisation = &mut organisations(document)[0];
            organisation.keys = vec![key::Key::new("fresh-key")];
            organisation.rate = Some(15.0);
            organisation.burst = Some(50.0);
        }),
        [
            format!("change: organisation dome: keys added 1 ({fresh})"),
            format!(
                "change: organisation dome: keys removed 1 ({dome}) (harmful: callers with a \
                 revoked key are refused)"
            ),
            format!("change: organisation dome: rate 20 -> 15 ({lowered})"),
            "change: organisation dome: burst 40 -> 50".to_owned(),
        ]
    );
    assert_eq!(
        changes(|document| {
            organisations(document)[0].rate = None;
            organisations(document)[0].burst = None;
        }),
        [
            "change: organisation dome: rate 20 -> none",
            "change: organisation dome: burst 40 -> none"
        ]
    );
    let mut unlimited = valid();
    organisations(&mut unlimited)[0].rate = None;
    let mut proposed = valid();
    proposed.version += 1;
    assert_eq!(
        lines(&proposed, Some(&unlimited)),
        [
            format!("change: organisation dome: rate none -> 20 ({lowered})"),
            format!("change: organisation dome: burst none -> 40 ({lowered})"),
        ]
    );
    assert_eq!(
        changes(|document| {
            organisations(document)[0] = organisation("bell", &["fresh-key", "fresh-key"]);
            organisations(document)[0].burst = None;
        }),
        [
            format!("change: organisation bell is added: keys 1 ({fresh}), rate 20, burst 20"),
            format!(
                "change: organisation dome is removed: keys 1 ({dome}) (harmful: its callers are \
                 refused)"
            ),
        ]
    );
}

/// Guards against callers without a key who are refused by a change that is not marked.
#[test]
fn a_change_that_requires_keys_is_marked() {
    let mut open = valid();
    open.organisations = Some(Vec::new());
    let without = document::Document {
        organisations: None,
        ..open.clone()
    };
    open.version += 1;
    assert_eq!(
        lines(&open, Some(&without)),
        [
            "change: callers of routes that are not public need a key (harmful: callers without a \
             key are refused)"
        ]
    );
    let changed = changes(|document| document.organisations = None);
    assert_eq!(changed[0], "change: callers need no key");
    assert!(
        changed.iter().all(|line| !line.contains("harmful")),
        "{changed:?}"
    );
}

/// Guards against an operator who overlooks an error below other findings, and against scripts that
/// meet another order in each run.
#[test]
fn errors_come_before_warnings_and_changes() {
    let mut proposed = valid();
    proposed.services.push(service("spare"));
    proposed.routes[0].timeout = time::Duration::ZERO;
    let found = check::check(&proposed, Some(&valid()));
    let severities: Vec<_> = found.iter().map(|finding| finding.severity).collect();
    assert!(severities.is_sorted(), "{found:?}");
    assert_eq!(severities.first(), Some(&finding::Severity::Error));
    assert_eq!(severities.last(), Some(&finding::Severity::Change));
    assert_eq!(found, check::check(&proposed, Some(&valid())));
}

/// Guards against a key in the place of a name that is printed, and against a name that forges a
/// line or controls a terminal.
#[test]
fn names_are_safe_to_print() {
    let fingerprint = key::Key::new("key-of-dome").fingerprint();
    let found = after(|document| {
        organisations(document)[1].name = "key-of-dome".into();
        organisations(document)[1].keys.clear();
        document.routes[0].kind = document::Kind::Unknown("key-of-dome".into());
        document.routes[1].group = "x\nerror: forged\u{1b}[2J".into();
    });
    assert_eq!(
        found,
        [
            "error: route slots refers to service x\\nerror: forged\\u{1b}[2J, which is not \
             defined"
                .to_owned(),
            format!(
                "warning: route clinic has the unknown kind the key {fingerprint}; its reads go \
                 to the primary"
            ),
            format!(
                "warning: organisation the key {fingerprint} has no keys, so no caller belongs to \
                 it"
            ),
            "warning: the staleness bound 1.5s of route clinic has no effect: its reads go to the \
             primary"
                .to_owned(),
        ]
    );
}
