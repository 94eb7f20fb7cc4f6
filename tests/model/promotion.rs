//! Steps of promoters, and of their calls to instances.

use std::iter;

use mangotray::id;
use mangotray::promote;
use mangotray::status;
use mangotray::term;

use crate::config::Extra;
use crate::mutation::Mutation;
use crate::next::Next;
use crate::rules;
use crate::state;
use crate::step;

impl Next<'_> {
    /// What promoters do, and what arrives of it.
    pub fn promoters(&mut self) {
        for promoter in (0..).take(state::PROMOTERS) {
            let handle = self.state.machines[usize::from(promoter)];
            match self.rules.phase(handle) {
                promote::Phase::Idle | promote::Phase::Waiting { .. } => self.claims(promoter),
                promote::Phase::Claiming { .. } => unreachable!("claims are answered at once"),
                promote::Phase::Fencing { term, fenced, .. } => {
                    let awaited = step::indices().filter(|on| fenced[usize::from(*on)].is_none());
                    awaited.for_each(|on| self.fence(promoter, step::narrow(term), on));
                    self.timeout(promoter, &fenced, step::narrow(term));
                }
                promote::Phase::Promoting { term, index, .. } => {
                    self.promote(promoter, step::narrow(term), index);
                    self.promote_timeout(promoter, step::narrow(term), index);
                }
            }
            self.fence_arrives(promoter);
        }
    }

    fn claims(&mut self, promoter: u8) {
        let slot = usize::from(promoter);
        let named = step::indices().filter(|_| self.config.has(Extra::Avoidance));
        for avoid in iter::once(None).chain(named.map(Some)) {
            let (handle, above) = self.rules.suspect(self.state.machines[slot], avoid);
            let reserved = self.state.reserved[slot];
            if reserved != 0 {
                self.claim(promoter, handle, reserved, avoid);
            }
            let record = term::Record {
                next: id::Term::from(self.state.claimed) + 1,
                ..term::Record::default()
            };
            let (_, next) = record.claim(above, 0);
            if slot < self.config.claimants && next <= self.config.terms.into() {
                self.claim(promoter, handle, step::narrow(next), avoid);
            }
        }
    }

    fn claim(&mut self, promoter: u8, handle: rules::Handle, term: u8, avoid: Option<u8>) {
        let slot = usize::from(promoter);
        let outcome = self
            .rules
            .step(handle, promote::Event::Claimed(term.into()));
        let step = step::Step::Claim {
            promoter,
            term,
            avoid,
        };
        self.add(step, |after| {
            if after.reserved[slot] == term {
                after.reserved[slot] = 0;
            }
            after.claimed = after.claimed.max(term);
            perform(after, promoter, outcome);
        });
    }

    fn fence(&mut self, promoter: u8, term: u8, on: u8) {
        let mut instance = self.state.instances[usize::from(on)];
        instance.fence(term);
        let view = instance.view().reduced();
        let handle = self.state.machines[usize::from(promoter)];
        let event = promote::Event::Fenced(on.into(), view.status());
        let outcome = self.rules.step(handle, event);
        self.add(step::Step::Fence { promoter, on }, |after| {
            after.instances[usize::from(on)] = instance;
            perform(after, promoter, outcome);
        });
        if self.config.has(Extra::SlowFences) {
            let kept = state::Kept {
                index: on,
                view,
                started: 0,
            };
            self.add(step::Step::FenceSlow { promoter, on }, |after| {
                after.instances[usize::from(on)] = instance;
                after.late[usize::from(promoter)] = Some(kept);
            });
        }
    }

    fn fence_arrives(&mut self, promoter: u8) {
        let Some(kept) = self.state.late[usize::from(promoter)] else {
            return;
        };
        let handle = self.state.machines[usize::from(promoter)];
        let event = promote::Event::Fenced(kept.index.into(), kept.view.status());
        let outcome = self.rules.step(handle, event);
        self.add(step::Step::FenceArrives { promoter }, |after| {
            after.late[usize::from(promoter)] = None;
            perform(after, promoter, outcome);
        });
    }

    fn timeout(&mut self, promoter: u8, fenced: &[Option<status::Status>], term: u8) {
        let handle = self.state.machines[usize::from(promoter)];
        let mut outcome = self.rules.timeout(handle);
        let only = fenced.iter().position(Option::is_some);
        if let Some(index) = only
            && outcome.1.is_empty()
            && self.config.broken(Mutation::OneFenced)
        {
            outcome.1.push(promote::Action::Promote {
                index,
                term: term.into(),
            });
        }
        self.add(step::Step::Timeout { promoter }, |after| {
            perform(after, promoter, outcome);
        });
    }

    fn promote(&mut self, promoter: u8, term: u8, index: usize) {
        let mut after = *self.state;
        self.promoted(&mut after, term, index);
        let handle = self.state.machines[usize::from(promoter)];
        let status = after.instances[index].view().status();
        let outcome = self.rules.step(handle, promote::Event::Promoted(status));
        self.add(step::Step::Promote { promoter }, |state| {
            *state = after;
            perform(state, promoter, outcome);
        });
    }

    fn promote_timeout(&mut self, promoter: u8, term: u8, index: usize) {
        let handle = self.state.machines[usize::from(promoter)];
        let mut outcome = self.rules.timeout(handle);
        if self.config.broken(Mutation::TermReused) {
            outcome.1.push(promote::Action::Promote {
                index: (index + 1) % state::INSTANCES,
                term: term.into(),
            });
        }
        self.add(step::Step::Timeout { promoter }, |after| {
            perform(after, promoter, outcome);
        });
    }

    /// Calls that arrive without their answer being awaited any more.
    pub fn calls(&mut self) {
        for (term, on) in step::terms().flat_map(|term| step::indices().map(move |on| (term, on))) {
            if self.state.fences & step::mask(term) != 0 {
                self.add(step::Step::FenceLost { term, on }, |after| {
                    after.instances[usize::from(on)].fence(term);
                });
            }
            if self.state.promotes[usize::from(term)] & step::mask(on) != 0 {
                let mut after = *self.state;
                self.promoted(&mut after, term, on.into());
                self.add(step::Step::PromoteLost { term, on }, |state| *state = after);
            }
        }
    }

    /// A promotion call arrives at an instance, which refuses unless it is fenced at
    /// exactly the term and has not lost its log.
    fn promoted(&self, after: &mut state::State, term: u8, index: usize) {
        let instance = &mut after.instances[index];
        let able = instance.voter() || self.config.broken(Mutation::WipedPromoted);
        if instance.fence != term || !able {
            return;
        }
        instance.promote(term, !self.config.has(Extra::NoFirstRecord));
        after.reigns[usize::from(term)] |= 1 << index;
    }
}

/// Sets a promoter's machine and sends what it asks for.
fn perform(
    state: &mut state::State,
    promoter: u8,
    (handle, actions): (rules::Handle, Vec<promote::Action>),
) {
    state.machines[usize::from(promoter)] = handle;
    for action in actions {
        match action {
            promote::Action::Fence { term } => state.fences |= step::mask(step::narrow(term)),
            promote::Action::Promote { index, term } => {
                let sent = &mut state.promotes[usize::from(step::narrow(term))];
                *sent |= 1 << index;
            }
            promote::Action::Claim { .. } | promote::Action::Announce { .. } => {}
        }
    }
}
