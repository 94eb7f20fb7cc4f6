//! Exhaustive check of the core protocol over the real decision code.
//!
//! `docs/MODEL.md` says what is modelled and what is not. Each test prints the
//! states explored, the depth and whether the space was exhausted; run with
//! `cargo test --test model -- --nocapture` to see them.

#[path = "model/config.rs"]
mod config;
#[path = "model/instance.rs"]
mod instance;
#[path = "model/log.rs"]
mod log;
#[path = "model/mutation.rs"]
mod mutation;
#[path = "model/property.rs"]
mod property;
#[path = "model/rules.rs"]
mod rules;
#[path = "model/search.rs"]
mod search;
#[path = "model/state.rs"]
mod state;
#[path = "model/step.rs"]
mod step;

#[test]
fn one_write_two_promoters() {
    let config = config::Config::new("one write, two promoters");
    let report = search::run(&config);
    println!("{report}");
    assert!(report.exhausted);
}

/// Runs a broken variant and checks that it is noticed as the given violation.
fn caught(mutation: mutation::Mutation, config: config::Config, property: property::Property) {
    let config = config::Config {
        mutation: Some(mutation),
        ..config
    };
    let report = search::run(&config);
    println!("{mutation:?}: {report}");
    let found = report.found.expect("the broken rule goes unnoticed");
    assert_eq!(found.property, property);
}

#[test]
fn one_fenced_instance_is_too_few() {
    caught(
        mutation::Mutation::OneFenced,
        config::Config::new("one write, two promoters"),
        property::Property::ConfirmedLost,
    );
}

#[test]
fn log_of_a_lower_term_must_be_refused() {
    caught(
        mutation::Mutation::ShippedToFenced,
        config::Config::new("one write, two promoters"),
        property::Property::ConfirmedLost,
    );
}

#[test]
fn two_promoters_must_not_share_a_term() {
    let config = config::Config {
        reserved: [2, 2],
        ..config::Config::new("one write, two promoters")
    };
    caught(
        mutation::Mutation::TermShared,
        config,
        property::Property::TermSharedByPrimaries,
    );
}

/// Without the first record of a term, replicas that kept a longer log of the old term
/// look newer than the primary until its first write.
#[test]
fn first_record_keeps_the_leader_ahead() {
    let ahead = |extras| {
        let config = config::Config {
            extras,
            ..config::Config::new("first record of a term")
        };
        let rules = rules::Rules::new(&config);
        let report = search::run_until(&config, &rules, |state| {
            property::leader_behind(state).then_some(property::Property::LeaderBehind)
        });
        println!("{extras:?}: {report}");
        report.exhausted
    };
    assert!(ahead(&[]));
    assert!(!ahead(&[config::Extra::NoFirstRecord]));
}
