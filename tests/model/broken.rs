//! Broken variants of the rules: each must be noticed.

use crate::config;
use crate::config::Extra;
use crate::mutation::Mutation;
use crate::property::Property;
use crate::search;

/// Searches with a broken rule and checks that the property is found violated.
fn assert_violation_found(mutation: Mutation, property: Property, config: config::Config) {
    let config = config::Config {
        mutation: Some(mutation),
        ..config
    };
    let report = search::run(&config);
    println!("{mutation:?}: {report}");
    let violation = report.violation.expect("the broken rule goes unnoticed");
    assert_eq!(violation.property, property);
}

const BASIC: config::Config = config::Config::new("basic");

const READER: config::Config = config::Config {
    reserved_terms: [2, 0],
    extras: &[Extra::Reader],
    ..config::Config::new("reader")
};

const LOSS: config::Config = config::Config {
    wipes: 1,
    ..config::Config::new("loss of a log")
};

const RESTART: config::Config = config::Config {
    restarts: 1,
    ..config::Config::new("restart")
};

// Symptom: a read misses the record of its token.
// Events: an instance without the record is fenced, which raises its fence term.
// Cause: the fence term stands for the term of its last record.
#[test]
fn fence_term_in_stamps_misleads_reads() {
    assert_violation_found(Mutation::FenceTermCompared, Property::TokenMisses, READER);
}

// Symptom: a confirmed write is gone after a promotion.
// Events: the old primary, rejoined with a long old log, is fenced with the others.
// Cause: all fenced instances have one fence term, so only lengths are compared.
#[test]
fn fence_term_in_stamps_misleads_promotions() {
    let config = config::Config { writes: 3, ..BASIC };
    assert_violation_found(Mutation::FenceTermCompared, Property::ConfirmedLost, config);
}

// Symptom: a confirmed write is gone after a promotion.
// Events: the only fenced instance is the one without the write.
// Cause: one instance need not hold what a majority holds.
#[test]
fn one_fenced_instance_is_too_few() {
    assert_violation_found(Mutation::OneFencedInstance, Property::ConfirmedLost, BASIC);
}

// Symptom: a confirmed write is gone after a second promotion.
// Events: the first primary goes on shipping to a replica that has followed the second.
// Cause: the replica takes a log of a lower term and cuts off the confirmed write.
#[test]
fn log_of_a_lower_term_must_be_refused() {
    assert_violation_found(
        Mutation::LowerTermLogAccepted,
        Property::ConfirmedLost,
        BASIC,
    );
}

// Symptom: a write is confirmed though the new primary never had it.
// Events: a replica has moved on to the new term; its stamp is higher.
// Cause: a higher stamp of another term says nothing about the record.
#[test]
fn stamp_of_a_later_term_confirms_nothing() {
    assert_violation_found(Mutation::LaterTermConfirms, Property::ConfirmedLost, BASIC);
}

// Symptom: a write of term 1 is confirmed and missing from the primary of term 2, whose
// higher stamp passes for any token of term 1.
// Events: the write misses the promotion at term 2, but its only holder is promoted at
// term 3 and ships it.
// Cause: a replica fenced at term 3 may have the write from the primary of term 3 only.
#[test]
fn replica_fenced_higher_confirms_nothing() {
    assert_violation_found(
        Mutation::HigherFenceConfirms,
        Property::ConfirmedLost,
        BASIC,
    );
}

// Symptom: a confirmed write is gone after a promotion.
// Events: the primary is lost before it ships the write.
// Cause: the write was on no majority.
#[test]
fn primary_alone_confirms_nothing() {
    assert_violation_found(
        Mutation::PrimaryAloneConfirms,
        Property::ConfirmedLost,
        BASIC,
    );
}

// Symptom: a read misses a write that was confirmed before it.
// Events: the one sampled instance is the one that lags.
// Cause: one instance need not hold what a majority holds.
#[test]
fn one_sampled_instance_is_too_few() {
    assert_violation_found(Mutation::OneSampledInstance, Property::ReadMisses, READER);
}

// Symptom: two instances lead one term.
// Events: two promoters got the same term and chose differently.
// Cause: the term was not unique.
#[test]
fn promoters_must_not_share_a_term() {
    let config = config::Config {
        reserved_terms: [2, 2],
        ..BASIC
    };
    assert_violation_found(
        Mutation::TermShared,
        Property::TermSharedByPrimaries,
        config,
    );
}

// Symptom: two instances lead one term.
// Events: the answer to a promotion call is lost, another instance is tried, then the
// first call arrives after all.
// Cause: the term was used for two promotions.
#[test]
fn term_is_not_reused_after_a_lost_answer() {
    assert_violation_found(Mutation::TermReused, Property::TermSharedByPrimaries, BASIC);
}

// Symptom: a confirmed write is gone after a promotion.
// Events: one of its two holders loses its log and is fenced with the third instance.
// Cause: an empty instance counted towards the majority.
#[test]
fn instance_without_its_log_has_no_vote() {
    assert_violation_found(Mutation::EmptyInstanceVotes, Property::ConfirmedLost, LOSS);
}

// Symptom: a write of a replaced primary is confirmed and missing from the new one.
// Events: a fenced replica loses its log and its fence, and copies the replaced primary.
// Cause: with its fence it forgot that it must refuse that primary's log.
#[test]
fn copied_log_gives_no_vote() {
    assert_violation_found(Mutation::CopiedLogVotes, Property::ConfirmedLost, LOSS);
}

// Symptom: as above.
// Events: the replica is fenced, loses its log and votes again before the promoter has
// fenced a second instance, which then makes a majority with the answer from before.
// Cause: that no other instance is fenced higher yet proves nothing about calls on their way.
#[test]
fn unfenced_witnesses_give_no_vote() {
    assert_violation_found(Mutation::WitnessedCopyVotes, Property::ConfirmedLost, LOSS);
}

// Symptom: a confirmed write is gone after a promotion.
// Events: the chosen instance loses its log; a repeated fencing call restores its fence.
// Cause: the promotion call looks at the fence only.
#[test]
fn instance_without_its_log_refuses_promotion() {
    assert_violation_found(
        Mutation::EmptyInstancePromoted,
        Property::ConfirmedLost,
        LOSS,
    );
}

// Symptom: a read misses a write that was confirmed before it.
// Events: a probe of the lagging instance starts before the write and is answered after
// the read has arrived.
// Cause: its answer counted as fresh by the time it arrived.
#[test]
fn sample_counts_from_its_start() {
    let config = config::Config {
        extras: &[Extra::Reader, Extra::SlowProbes],
        ..READER
    };
    assert_violation_found(Mutation::AnswerTimeCompared, Property::ReadMisses, config);
}

// Symptom: a read misses the record of its token.
// Events: an instance is seen with the record and then loses its log.
// Cause: a stamp of its earlier incarnation was used.
#[test]
fn stamp_of_an_earlier_incarnation_is_void() {
    let config = config::Config { wipes: 1, ..READER };
    assert_violation_found(Mutation::IncarnationIgnored, Property::TokenMisses, config);
}

// Symptom: a write reported as not run is in a log.
// Events: it ran and its answer was lost.
// Cause: only what was never sent, or was refused, is surely not run.
#[test]
fn lost_answer_is_not_a_refusal() {
    assert_violation_found(
        Mutation::LostAnswerReportedNotRun,
        Property::NotRunFound,
        BASIC,
    );
}

// Symptom: a write is in a log twice.
// Events: it ran, its answer was lost, it was sent again.
// Cause: a write whose outcome is unknown must not be repeated.
#[test]
fn unknown_write_is_not_repeated() {
    assert_violation_found(Mutation::LostAnswerRetried, Property::RunTwice, BASIC);
}

// Symptom: a write of a replaced primary is confirmed and missing from the new one.
// Events: a fenced replica restarts and takes the replaced primary's log again.
// Cause: its fence was not durable. The upstream has to see to this.
#[test]
fn fence_must_be_durable() {
    assert_violation_found(Mutation::FenceForgotten, Property::ConfirmedLost, RESTART);
}

// Symptom: a confirmed write is gone.
// Events: an instance reports a record and loses it by a restart.
// Cause: the record was not durable. The upstream has to see to this.
#[test]
fn reported_records_must_be_durable() {
    assert_violation_found(
        Mutation::LastRecordForgotten,
        Property::ConfirmedLost,
        RESTART,
    );
}
