use std::time;

use assert_matches::assert_matches;

use crate::grant;
use crate::id;
use crate::seat;
use crate::share;
use crate::witness;

mod simulation;

const RUNS: u64 = 60;
const SECONDS: u64 = 600;

fn tally(mutation: simulation::Mutation) -> simulation::Tally {
    let mut sum = simulation::Tally::default();
    for seed in 0..RUNS {
        let mut simulation = simulation::Simulation::new(seed, mutation);
        simulation.run(SECONDS);
        sum.uses += simulation.tally.uses;
        sum.takeovers += simulation.tally.takeovers;
        sum.returns += simulation.tally.returns;
        sum.outage_uses += simulation.tally.outage_uses;
        sum.conflicts += simulation.tally.conflicts;
    }
    println!("{mutation:?}: {sum:?}");
    sum
}

#[test]
fn a_seat_never_has_two_users() {
    let tally = tally(simulation::Mutation::None);
    assert_eq!(tally.conflicts, 0);
    assert!(tally.uses > 0 && tally.takeovers > 0);
    assert!(tally.returns > 0 && tally.outage_uses > 0);
}

/// Without the guard interval, an instance refuses connections at the end of an outage. The
/// owner uses its seat throughout the outage; when the store returns, a claimant takes the seat
/// over and uses it at once, while the owner still relies on the last reports of its witnesses.
#[test]
fn without_the_guard_interval_a_seat_has_two_users() {
    assert!(tally(simulation::Mutation::NoGuard).conflicts > 0);
}

/// A lease that is counted from the answer to a renewal gives a seat two users without an outage.
/// The owner sends a renewal, is paused for a minute and then reads the answer; counted from the
/// sending of the renewal, the lease has already ended.
#[test]
fn counting_from_the_answer_gives_two_users() {
    assert!(tally(simulation::Mutation::RenewalFromAnswer).conflicts > 0);
}

/// A majority of only the reachable witnesses gives a seat two users in a partition. The owner
/// and some peers lose contact with the store while the others keep it; all witnesses that the
/// owner reaches report an outage that affects only their side.
#[test]
fn a_majority_of_reachable_witnesses_gives_two_users() {
    assert!(tally(simulation::Mutation::ReachableMajority).conflicts > 0);
}

/// A takeover without witnesses gives a seat two users at the end of an outage. A claimant reaches
/// the store again before the owner's witnesses do and finds the lease ended, which the owner has
/// no means to detect.
#[test]
fn without_witnesses_a_seat_has_two_users() {
    assert!(tally(simulation::Mutation::NoWitness).conflicts > 0);
}

fn at(seconds: u64) -> id::Time {
    time::Duration::from_secs(seconds)
}

fn entry(vm: &str, lease: &str, witnesses: &[&str]) -> seat::Seat {
    seat::Seat {
        seat: 0,
        vm: vm.into(),
        incarnation: 1,
        lease: lease.into(),
        witnesses: witnesses.iter().map(|name| (*name).into()).collect(),
    }
}

fn view() -> share::View {
    share::View::new("b".into(), 1, 1, grant::Limits::default())
}

fn grants() -> Vec<grant::Grant> {
    let mut grant = grant::Grant::new("lb".into(), at(0), grant::Limits::default());
    grant.record_renewal(at(900));
    vec![grant]
}

fn contact(silent: u64) -> witness::Report {
    witness::Report {
        silent: at(silent),
        contacted: true,
    }
}

/// A view that proposed a takeover of `a`'s seat at 110 s, got no answer to the call and found
/// itself the owner at 120 s.
fn taken_over() -> share::View {
    let mut view = view();
    view.apply_record(1, vec![entry("a", "la", &["w", "x", "y"])], at(100));
    let decide = |view: &mut share::View, now| view.next_step(at(now), 1, &[], &"lb".into());
    assert_matches!(decide(&mut view, 100), share::Step::Check { .. });
    view.record_lease_end(&"la".into(), at(101));
    view.record_report(&"w".into(), at(105), contact(1));
    view.record_report(&"x".into(), at(105), contact(10));
    assert_eq!(decide(&mut view, 106), share::Step::Idle);
    view.record_report(&"x".into(), at(109), contact(1));
    assert_matches!(
        decide(&mut view, 110),
        share::Step::Propose { expect: 1, .. }
    );
    view.apply_record(2, vec![entry("b", "lb", &[])], at(120));
    view
}

#[test]
fn a_takeover_waits_for_witnesses_and_then_for_the_guard_interval() {
    let view = taken_over();
    assert_eq!(view.usable_until(0, at(129), &grants()), None);
    assert!(view.usable_until(0, at(130), &grants()).is_some());
}

/// Returning a seat within the guard interval gives it two users. A claimant takes the seat over
/// and has to return it at once; a third VM finds it vacant and uses it, while the first owner
/// still relies on the guard interval.
#[test]
fn a_seat_is_not_returned_within_the_guard_interval() {
    let mut view = taken_over();
    let decide = |view: &mut share::View, now| view.next_step(at(now), 0, &[], &"lb".into());
    assert_eq!(decide(&mut view, 121), share::Step::Drain { seat: 0 });
    view.record_drained(0);
    assert_eq!(decide(&mut view, 129), share::Step::Idle);
    assert_matches!(decide(&mut view, 130), share::Step::Propose { seats, .. } if seats.is_empty());
    assert_eq!(view.usable_until(0, at(131), &grants()), None);
}

/// An unanswered change of witnesses gives a seat two users at the end of an outage. The owner
/// proposes new witnesses, the answer is lost and the outage begins; the claimant polls the new
/// witnesses while the owner still relies on the old ones.
#[test]
fn witnesses_of_an_unanswered_proposal_have_to_agree_too() {
    let mut view = view();
    view.apply_record(1, vec![entry("b", "lb", &["w"])], at(0));
    let mut grants = grants();
    let silent = contact(40);
    grants[0].record_report(&"w".into(), at(940), at(940), silent);
    let now = at(945);
    assert!(view.usable_until(0, now, &grants).is_some());
    view.next_step(now, 1, &["x".into()], &"lb".into());
    assert_eq!(view.usable_until(0, now, &grants), None);
    grants[0].record_report(&"x".into(), at(944), at(944), silent);
    assert!(view.usable_until(0, now, &grants).is_some());
    assert_eq!(view.witnesses().len(), 2);
}

#[test]
fn a_read_of_an_older_version_is_dropped() {
    let mut view = taken_over();
    view.apply_record(1, Vec::new(), at(140));
    assert!(view.usable_until(0, at(140), &grants()).is_some());
    view.apply_record(3, Vec::new(), at(141));
    assert_eq!(view.usable_until(0, at(141), &grants()), None);
}
