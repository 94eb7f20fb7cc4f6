//! Searches with one deliberately broken rule each; each must find a violation.

use crate::config;
use crate::config::Extra;
use crate::mutation::Mutation;
use crate::property::Property;
use crate::search;

/// Searches with a broken rule and checks that it violates exactly this property.
fn assert_violation_found(mutation: Mutation, property: Property, config: config::Config) {
    let config = config::Config {
        mutation: Some(mutation),
        ..config
    };
    let report = search::run(&config);
    println!("{mutation:?}: {report}");
    let violation = report
        .violation
        .expect("the search finds no violation by the broken rule");
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
// Cause: the stamp carries the fence term in place of the term of the last record.
#[test]
fn fence_term_in_stamps_misleads_reads() {
    assert_violation_found(Mutation::FenceTermCompared, Property::TokenMisses, READER);
}

// Symptom: a confirmed write is gone after a promotion.
// Events: the old primary, rejoined with a long old log, is fenced with the others.
// Cause: all fenced instances have the same fence term, so only log lengths are compared.
#[test]
fn fence_term_in_stamps_misleads_promotions() {
    let config = config::Config { writes: 3, ..BASIC };
    assert_violation_found(Mutation::FenceTermCompared, Property::ConfirmedLost, config);
}

// Symptom: a confirmed write is gone after a promotion.
// Events: the only fenced instance does not have the write.
// Cause: one instance may lack a record that a majority holds.
#[test]
fn one_fenced_instance_is_too_few() {
    assert_violation_found(Mutation::OneFencedInstance, Property::ConfirmedLost, BASIC);
}

// Symptom: a confirmed write is gone after a second promotion.
// Events: the first primary keeps replicating to a replica that already follows the second.
// Cause: the replica accepts the log of a lower term and truncates the confirmed write.
#[test]
fn log_of_a_lower_term_must_be_refused() {
    assert_violation_found(
        Mutation::LowerTermLogAccepted,
        Property::ConfirmedLost,
        BASIC,
    );
}

// Symptom: a write is confirmed though the new primary never had it.
// Events: a replica follows the primary of the new term; its stamp is higher.
// Cause: a higher stamp of another term does not prove that the log has the record.
#[test]
fn stamp_of_a_later_term_confirms_nothing() {
    assert_violation_found(Mutation::LaterTermConfirms, Property::ConfirmedLost, BASIC);
}

// Symptom: a write of term 1 is confirmed and missing from the primary of term 2, whose
// higher stamp satisfies any token of term 1.
// Events: the instance promoted at term 2 lacks the write; its only holder is promoted at
// term 3 and replicates it.
// Cause: a replica fenced at term 3 may have got the write from the primary of term 3.
#[test]
fn replica_fenced_higher_confirms_nothing() {
    assert_violation_found(
        Mutation::HigherFenceConfirms,
        Property::ConfirmedLost,
        BASIC,
    );
}

// Symptom: a confirmed write is gone after a promotion.
// Events: the primary is lost before it replicates the write.
// Cause: no majority held the write.
#[test]
fn primary_alone_confirms_nothing() {
    assert_violation_found(
        Mutation::PrimaryAloneConfirms,
        Property::ConfirmedLost,
        BASIC,
    );
}

// Symptom: a read misses a write that was confirmed before it.
// Events: the only sampled instance lags.
// Cause: one instance may lack a record that a majority holds.
#[test]
fn one_sampled_instance_is_too_few() {
    assert_violation_found(Mutation::OneSampledInstance, Property::ReadMisses, READER);
}

// Symptom: two instances lead one term.
// Events: two promoters get the same term and choose different instances.
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
// Events: the answer to a promotion call is lost, another instance is promoted, then the
// first call arrives.
// Cause: the term was used for two promotions.
#[test]
fn term_is_not_reused_after_a_lost_answer() {
    assert_violation_found(Mutation::TermReused, Property::TermSharedByPrimaries, BASIC);
}

// Symptom: a confirmed write is gone after a promotion.
// Events: one of its two holders loses its log and is fenced with the third instance.
// Cause: the empty instance is counted in the majority.
#[test]
fn instance_without_its_log_has_no_vote() {
    assert_violation_found(Mutation::EmptyInstanceVotes, Property::ConfirmedLost, LOSS);
}

// Symptom: a write of a replaced primary is confirmed and missing from the new one.
// Events: a fenced replica loses its log and its fence, and copies the replaced primary.
// Cause: without its fence, the replica no longer refuses that primary's log.
#[test]
fn copied_log_gives_no_vote() {
    assert_violation_found(Mutation::CopiedLogVotes, Property::ConfirmedLost, LOSS);
}

// Symptom: a write of a replaced primary is confirmed and missing from the new one.
// Events: the replica is fenced, loses its log and votes again before the promoter has
// fenced a second instance, which then forms a majority with the replica's earlier answer.
// Cause: even if no other instance is fenced higher, a fencing call may be in flight.
#[test]
fn unfenced_witnesses_give_no_vote() {
    assert_violation_found(Mutation::WitnessedCopyVotes, Property::ConfirmedLost, LOSS);
}

// Symptom: a confirmed write is gone after a promotion.
// Events: the chosen instance loses its log; a repeated fencing call restores its fence.
// Cause: the promotion call checks the fence only.
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
// the read arrives.
// Cause: freshness is judged by the time of the answer, not by the start of the probe.
#[test]
fn sample_counts_from_its_start() {
    let config = config::Config {
        extras: &[Extra::Reader, Extra::SlowProbes],
        ..READER
    };
    assert_violation_found(Mutation::AnswerTimeCompared, Property::ReadMisses, config);
}

// Symptom: a read misses the record of its token.
// Events: a probe reports the record, then the instance loses its log.
// Cause: the stamp of the earlier incarnation is still used.
#[test]
fn stamp_of_an_earlier_incarnation_is_void() {
    let config = config::Config { wipes: 1, ..READER };
    assert_violation_found(Mutation::IncarnationIgnored, Property::TokenMisses, config);
}

// Symptom: a write reported as not run is in a log.
// Events: it runs and its answer is lost.
// Cause: only a write that was never sent, or was refused, has certainly not run.
#[test]
fn lost_answer_is_not_a_refusal() {
    assert_violation_found(
        Mutation::LostAnswerReportedNotRun,
        Property::NotRunFound,
        BASIC,
    );
}

// Symptom: a write is in a log twice.
// Events: it runs, its answer is lost, and it is sent again.
// Cause: a write whose outcome is unknown must not be repeated.
#[test]
fn unknown_write_is_not_repeated() {
    assert_violation_found(Mutation::LostAnswerRetried, Property::RunTwice, BASIC);
}

// Symptom: a write of a replaced primary is confirmed and missing from the new one.
// Events: a fenced replica restarts and accepts the replaced primary's log again.
// Cause: its fence was not durable. Durability is required of the upstream.
#[test]
fn fence_must_be_durable() {
    assert_violation_found(Mutation::FenceForgotten, Property::ConfirmedLost, RESTART);
}

// Symptom: a confirmed write is gone.
// Events: an instance reports a record and loses it in a restart.
// Cause: the record was not durable. Durability is required of the upstream.
#[test]
fn reported_records_must_be_durable() {
    assert_violation_found(
        Mutation::LastRecordForgotten,
        Property::ConfirmedLost,
        RESTART,
    );
}
