//! Steps of promoters and of their calls to instances.

use std::iter;

use mangotray::id;
use mangotray::promote;
use mangotray::status;
use mangotray::term;

use crate::config::Extra;
use crate::mutation::Mutation;
use crate::next::Expansion;
use crate::rules;
use crate::state;
use crate::step;

impl Expansion<'_> {
    /// Adds the next steps of each promoter and its delayed fencing answers.
    pub fn add_promoter_steps(&mut self) {
        for promoter in (0..).take(state::PROMOTERS) {
            let handle = self.state.machines[usize::from(promoter)];
            match self.rules.phase(handle) {
                promote::Phase::Idle | promote::Phase::Waiting { .. } => self.add_claims(promoter),
                promote::Phase::Claiming { .. } => unreachable!("claims are answered at once"),
                promote::Phase::Fencing { term, fenced, .. } => {
                    let awaited =
                        step::indices().filter(|index| fenced[usize::from(*index)].is_none());
                    awaited.for_each(|index| self.add_fence(promoter, step::to_u8(term), index));
                    self.add_fencing_timeout(promoter, &fenced, step::to_u8(term));
                }
                promote::Phase::Promoting { term, index, .. } => {
                    self.add_promotion(promoter, step::to_u8(term), index);
                    self.add_promotion_timeout(promoter, step::to_u8(term), index);
                }
            }
            self.add_late_fence_answer(promoter);
        }
    }

    fn add_claims(&mut self, promoter: u8) {
        let slot = usize::from(promoter);
        let named = step::indices().filter(|_| self.config.includes(Extra::InstanceReplacement));
        for replaced_instance in iter::once(None).chain(named.map(Some)) {
            let (handle, above) = self
                .rules
                .suspect(self.state.machines[slot], replaced_instance);
            let reserved_term = self.state.reserved_terms[slot];
            if reserved_term != 0 {
                self.add_claim(promoter, handle, reserved_term, replaced_instance);
            }
            let record = term::Record {
                next: id::Term::from(self.state.highest_claimed_term) + 1,
                ..term::Record::default()
            };
            let (_, next) = record.claim(above, 0);
            if slot < self.config.claiming_promoters && next <= self.config.max_term.into() {
                self.add_claim(promoter, handle, step::to_u8(next), replaced_instance);
            }
        }
    }

    fn add_claim(
        &mut self,
        promoter: u8,
        handle: rules::Handle,
        term: u8,
        replaced_instance: Option<u8>,
    ) {
        let slot = usize::from(promoter);
        let outcome = self
            .rules
            .step(handle, promote::Event::Claimed(term.into()));
        let step = step::Step::Claim {
            promoter,
            term,
            replaced_instance,
        };
        self.add(step, |after| {
            if after.reserved_terms[slot] == term {
                after.reserved_terms[slot] = 0;
            }
            after.highest_claimed_term = after.highest_claimed_term.max(term);
            apply_outcome(after, promoter, outcome);
        });
    }

    fn add_fence(&mut self, promoter: u8, term: u8, index: u8) {
        let mut instance = self.state.instances[usize::from(index)];
        instance.raise_fence(term);
        let view = instance.view().promotion_view();
        let handle = self.state.machines[usize::from(promoter)];
        let event = promote::Event::Fenced(index.into(), view.status());
        let outcome = self.rules.step(handle, event);
        self.add(step::Step::Fence { promoter, index }, |after| {
            after.instances[usize::from(index)] = instance;
            apply_outcome(after, promoter, outcome);
        });
        if self.config.includes(Extra::SlowFences) {
            let answer = state::Answer {
                index,
                view,
                started: 0,
            };
            self.add(step::Step::FenceSlow { promoter, index }, |after| {
                after.instances[usize::from(index)] = instance;
                after.late_answers[usize::from(promoter)] = Some(answer);
            });
        }
    }

    fn add_late_fence_answer(&mut self, promoter: u8) {
        let Some(answer) = self.state.late_answers[usize::from(promoter)] else {
            return;
        };
        let handle = self.state.machines[usize::from(promoter)];
        let event = promote::Event::Fenced(answer.index.into(), answer.view.status());
        let outcome = self.rules.step(handle, event);
        self.add(step::Step::FenceArrives { promoter }, |after| {
            after.late_answers[usize::from(promoter)] = None;
            apply_outcome(after, promoter, outcome);
        });
    }

    fn add_fencing_timeout(&mut self, promoter: u8, fenced: &[Option<status::Status>], term: u8) {
        let handle = self.state.machines[usize::from(promoter)];
        let mut outcome = self.rules.timeout(handle);
        let only = fenced.iter().position(Option::is_some);
        if let Some(index) = only
            && outcome.1.is_empty()
            && self.config.has_mutation(Mutation::OneFencedInstance)
        {
            outcome.1.push(promote::Action::Promote {
                index,
                term: term.into(),
            });
        }
        self.add(step::Step::Timeout { promoter }, |after| {
            apply_outcome(after, promoter, outcome);
        });
    }

    fn add_promotion(&mut self, promoter: u8, term: u8, index: usize) {
        let mut after = *self.state;
        self.deliver_promotion(&mut after, term, index);
        let handle = self.state.machines[usize::from(promoter)];
        let status = after.instances[index].view().status();
        let outcome = self.rules.step(handle, promote::Event::Promoted(status));
        self.add(step::Step::Promote { promoter }, |state| {
            *state = after;
            apply_outcome(state, promoter, outcome);
        });
    }

    fn add_promotion_timeout(&mut self, promoter: u8, term: u8, index: usize) {
        let handle = self.state.machines[usize::from(promoter)];
        let mut outcome = self.rules.timeout(handle);
        if self.config.has_mutation(Mutation::TermReused) {
            outcome.1.push(promote::Action::Promote {
                index: (index + 1) % state::INSTANCES,
                term: term.into(),
            });
        }
        self.add(step::Step::Timeout { promoter }, |after| {
            apply_outcome(after, promoter, outcome);
        });
    }

    /// Adds arrivals of calls whose answer is lost or no longer awaited.
    pub fn add_unanswered_calls(&mut self) {
        for (term, index) in
            step::terms().flat_map(|term| step::indices().map(move |index| (term, index)))
        {
            if self.state.fencing_terms & step::bit(term) != 0 {
                self.add(step::Step::FenceLost { term, index }, |after| {
                    after.instances[usize::from(index)].raise_fence(term);
                });
            }
            if self.state.promotion_targets[usize::from(term)] & step::bit(index) != 0 {
                let mut after = *self.state;
                self.deliver_promotion(&mut after, term, index.into());
                self.add(step::Step::PromoteLost { term, index }, |state| {
                    *state = after;
                });
            }
        }
    }

    /// Delivers a promotion call to an instance, which refuses it unless it is fenced at
    /// exactly this term and is a voter.
    fn deliver_promotion(&self, after: &mut state::State, term: u8, index: usize) {
        let instance = &mut after.instances[index];
        let able = instance.is_voter() || self.config.has_mutation(Mutation::EmptyInstancePromoted);
        if instance.fence != term || !able {
            return;
        }
        instance.promote(term, !self.config.includes(Extra::NoFirstRecord));
        after.primaries_by_term[usize::from(term)] |= 1 << index;
    }
}

/// Sets the state of a promoter's machine and sends the calls that it requests.
fn apply_outcome(
    state: &mut state::State,
    promoter: u8,
    (handle, actions): (rules::Handle, Vec<promote::Action>),
) {
    state.machines[usize::from(promoter)] = handle;
    for action in actions {
        match action {
            promote::Action::Fence { term } => state.fencing_terms |= step::bit(step::to_u8(term)),
            promote::Action::Promote { index, term } => {
                let sent = &mut state.promotion_targets[usize::from(step::to_u8(term))];
                *sent |= 1 << index;
            }
            promote::Action::Claim { .. } | promote::Action::Announce { .. } => {}
        }
    }
}
