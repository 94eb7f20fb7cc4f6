//! Steps between states.

use mangotray::promote;

use crate::config;
use crate::config::Extra;
use crate::instance;
use crate::mutation::Mutation;
use crate::property;
use crate::rules;
use crate::state;

/// What happens. Instances and promoters go by index, writes by number from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The beginning.
    Start,
    /// A primary runs a write and its answer arrives.
    Write { write: u8, on: u8 },
    /// A replica refuses a write, which is reported as not run.
    Refuse { write: u8, on: u8 },
    /// A primary runs a write, its answer is lost, and the proxy reports it as not run.
    WriteLost { write: u8, on: u8 },
    /// One record, or the news of the term, reaches another instance.
    Ship { from: u8, to: u8 },
    /// A replica's status confirms a write.
    Confirm { write: u8, by: u8 },
    /// The writer receives a status that it will use later.
    Keep { of: u8 },
    /// The status received earlier confirms a write.
    ConfirmKept { write: u8 },
    /// A promoter suspects the primary and claims a term.
    Claim { promoter: u8, term: u8 },
    /// A fencing call arrives; its answer is lost or not awaited any more.
    FenceLost { term: u8, on: u8 },
    /// A fencing call arrives and so does its answer.
    Fence { promoter: u8, on: u8 },
    /// A fencing call arrives; its answer stays on its way.
    FenceSlow { promoter: u8, on: u8 },
    /// The answer on its way arrives.
    FenceArrives { promoter: u8 },
    /// A promoter's deadline passes.
    Timeout { promoter: u8 },
    /// A promotion call arrives; its answer is lost or not awaited any more.
    PromoteLost { term: u8, on: u8 },
    /// A promotion call arrives and so does its answer.
    Promote { promoter: u8 },
    /// An instance loses its log and all it knew.
    Wipe { on: u8 },
    /// An instance restarts.
    Restart { on: u8 },
    /// The reading proxy probes an instance.
    Probe { of: u8 },
    /// The reading proxy probes an instance; the answer stays on its way.
    ProbeSlow { of: u8 },
    /// The answer on its way arrives.
    ProbeArrives,
    /// The read arrives.
    Read,
}

/// All that can happen next.
pub fn successors(
    state: &state::State,
    config: &config::Config,
    rules: &rules::Rules,
) -> Vec<(Step, state::State)> {
    let mut next = Next {
        state,
        config,
        rules,
        found: Vec::with_capacity(32),
    };
    next.writes();
    next.ships();
    next.confirmations();
    next.promoters();
    next.calls();
    next.faults();
    if config.has(Extra::Reader) {
        next.reads();
    }
    next.found
}

struct Next<'a> {
    state: &'a state::State,
    config: &'a config::Config,
    rules: &'a rules::Rules,
    found: Vec<(Step, state::State)>,
}

impl Next<'_> {
    /// Adds a step if it changes anything.
    fn add(&mut self, step: Step, change: impl FnOnce(&mut state::State)) {
        let mut after = *self.state;
        change(&mut after);
        if after != *self.state {
            self.found.push((step, after));
        }
    }

    fn writes(&mut self) {
        let Some(slot) = self
            .state
            .writes
            .iter()
            .position(|write| *write == state::Write::New)
        else {
            return self.retries();
        };
        let write = number(slot);
        if write <= self.config.writes {
            for on in indices() {
                self.write(write, on);
            }
        }
        self.retries();
    }

    fn write(&mut self, write: u8, on: u8) {
        let slot = usize::from(write - 1);
        let mut instance = self.state.instances[usize::from(on)];
        if let Some(stamp) = instance.write(write) {
            let place = state::Place {
                term: narrow(stamp.term),
                position: narrow(stamp.position),
                primary: on,
            };
            self.add(Step::Write { write, on }, |after| {
                after.instances[usize::from(on)] = instance;
                after.writes[slot] = state::Write::Answered(place);
            });
            if self.config.broken(Mutation::LostReported) {
                self.add(Step::WriteLost { write, on }, |after| {
                    after.instances[usize::from(on)] = instance;
                    after.writes[slot] = state::Write::NotRun;
                });
            }
        } else if self.config.has(Extra::Refusals) {
            self.add(Step::Refuse { write, on }, |after| {
                after.writes[slot] = state::Write::NotRun;
            });
        }
    }

    /// Sends writes again whose answer was taken for lost.
    fn retries(&mut self) {
        if !self.config.broken(Mutation::LostRetried) {
            return;
        }
        for (slot, known) in self.state.writes.iter().enumerate() {
            if matches!(known, state::Write::Answered(_)) {
                indices().for_each(|on| self.write(number(slot), on));
            }
        }
    }

    fn ships(&mut self) {
        for (from, to) in indices().flat_map(|from| indices().map(move |to| (from, to))) {
            let source = self.state.instances[usize::from(from)];
            let target = self.state.instances[usize::from(to)];
            let refused = target.fence > source.led || target.led == source.led;
            let broken = self.config.broken(Mutation::ShippedToFenced) && !target.leads();
            if source.led == 0 || from == to || (refused && !broken) {
                continue;
            }
            let target = self.shipped(&source, target);
            self.add(Step::Ship { from, to }, |after| {
                after.instances[usize::from(to)] = target;
            });
        }
    }

    fn shipped(
        &self,
        source: &instance::Instance,
        mut target: instance::Instance,
    ) -> instance::Instance {
        target.fence(source.led);
        target.follow(source);
        let copied = self.config.broken(Mutation::CopiedVotes) && target.log == source.log;
        if copied || target.log.term() > target.barrier {
            target.barrier = 0;
        }
        target
    }

    fn confirmations(&mut self) {
        for (slot, known) in self.state.writes.iter().enumerate() {
            let state::Write::Answered(place) = *known else {
                continue;
            };
            let write = number(slot);
            let confirm = |after: &mut state::State| {
                after.writes[slot] = state::Write::Confirmed(place);
            };
            for by in indices() {
                let view = self.state.instances[usize::from(by)].view();
                if self.rules.confirmed(place, by, view) {
                    self.add(Step::Confirm { write, by }, confirm);
                }
            }
            if let Some(stale) = self.state.stale
                && self.rules.confirmed(place, stale.index, stale.view)
            {
                self.add(Step::ConfirmKept { write }, confirm);
            }
        }
        if self.config.has(Extra::StaleStatus) {
            for of in indices() {
                let kept = self.kept(of, 0);
                self.add(Step::Keep { of }, |after| after.stale = Some(kept));
            }
        }
    }

    fn kept(&self, index: u8, started: u8) -> state::Kept {
        state::Kept {
            index,
            view: self.state.instances[usize::from(index)].view(),
            started,
        }
    }

    fn promoters(&mut self) {
        for promoter in (0..).take(state::PROMOTERS) {
            let handle = self.state.machines[usize::from(promoter)];
            match self.rules.phase(handle) {
                promote::Phase::Idle | promote::Phase::Waiting { .. } => self.claims(promoter),
                promote::Phase::Claiming { .. } => unreachable!("claims are answered at once"),
                promote::Phase::Fencing { term, fenced, .. } => {
                    let awaited = indices().filter(|on| fenced[usize::from(*on)].is_none());
                    awaited.for_each(|on| self.fence(promoter, narrow(term), on));
                    self.timeout(promoter, &fenced, narrow(term));
                }
                promote::Phase::Promoting { term, index, .. } => {
                    self.promote(promoter, narrow(term), index);
                    self.promote_timeout(promoter, narrow(term), index);
                }
            }
            self.fence_arrives(promoter);
        }
    }

    fn claims(&mut self, promoter: u8) {
        let reserved = self.state.reserved[usize::from(promoter)];
        if reserved != 0 {
            self.claim(promoter, reserved, |after| {
                after.reserved[usize::from(promoter)] = 0;
            });
        }
        let next = self.state.claimed + 1;
        if usize::from(promoter) < self.config.claimants && next <= self.config.terms {
            self.claim(promoter, next, |after| after.claimed = next);
        }
    }

    fn claim(&mut self, promoter: u8, term: u8, take: impl FnOnce(&mut state::State)) {
        let handle = self.state.machines[usize::from(promoter)];
        let outcome = self.rules.claim(handle, term);
        self.add(Step::Claim { promoter, term }, |after| {
            take(after);
            perform(after, promoter, outcome);
        });
    }

    fn fence(&mut self, promoter: u8, term: u8, on: u8) {
        let mut instance = self.state.instances[usize::from(on)];
        instance.fence(term);
        let status = instance.view().status();
        let handle = self.state.machines[usize::from(promoter)];
        let event = promote::Event::Fenced(on.into(), status);
        let outcome = self.rules.step(handle, event);
        self.add(Step::Fence { promoter, on }, |after| {
            after.instances[usize::from(on)] = instance;
            perform(after, promoter, outcome);
        });
        if self.config.has(Extra::SlowFences) {
            let kept = state::Kept {
                index: on,
                view: instance.view(),
                started: 0,
            };
            self.add(Step::FenceSlow { promoter, on }, |after| {
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
        self.add(Step::FenceArrives { promoter }, |after| {
            after.late[usize::from(promoter)] = None;
            perform(after, promoter, outcome);
        });
    }

    fn timeout(&mut self, promoter: u8, fenced: &[Option<mangotray::status::Status>], term: u8) {
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
        self.add(Step::Timeout { promoter }, |after| {
            perform(after, promoter, outcome);
        });
    }

    fn promote(&mut self, promoter: u8, term: u8, index: usize) {
        let mut after = *self.state;
        self.promoted(&mut after, term, index);
        let handle = self.state.machines[usize::from(promoter)];
        let status = after.instances[index].view().status();
        let outcome = self.rules.step(handle, promote::Event::Promoted(status));
        self.add(Step::Promote { promoter }, |state| {
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
        self.add(Step::Timeout { promoter }, |after| {
            perform(after, promoter, outcome);
        });
    }

    fn calls(&mut self) {
        for (term, on) in terms().flat_map(|term| indices().map(move |on| (term, on))) {
            if self.state.fences & mask(term) != 0 {
                self.add(Step::FenceLost { term, on }, |after| {
                    after.instances[usize::from(on)].fence(term);
                });
            }
            if self.state.promotes[usize::from(term)] & mask(on) != 0 {
                let mut after = *self.state;
                self.promoted(&mut after, term, on.into());
                self.add(Step::PromoteLost { term, on }, |state| *state = after);
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

    fn faults(&mut self) {
        for on in indices() {
            if self.state.wipes > 0 {
                let claimed = self.state.claimed;
                self.add(Step::Wipe { on }, |after| {
                    after.instances[usize::from(on)].wipe(claimed);
                    after.wipes -= 1;
                });
            }
            if self.state.restarts > 0 {
                let instance = self.restarted(self.state.instances[usize::from(on)]);
                self.add(Step::Restart { on }, |after| {
                    after.instances[usize::from(on)] = instance;
                    after.restarts -= 1;
                });
            }
        }
    }

    fn restarted(&self, mut instance: instance::Instance) -> instance::Instance {
        instance.incarnation += 1;
        if self.config.broken(Mutation::FenceForgotten) {
            instance.fence = instance.log.term();
        }
        if self.config.broken(Mutation::RecordForgotten) {
            instance.log.truncate(instance.log.len().saturating_sub(1));
        }
        instance
    }

    fn reads(&mut self) {
        let now = u8::from(self.state.reader.arrived);
        for of in indices() {
            let kept = self.kept(of, now);
            self.probed(Step::Probe { of }, kept);
            if self.config.has(Extra::SlowProbes) {
                self.add(Step::ProbeSlow { of }, |after| {
                    after.reader.kept = Some(kept);
                });
            }
        }
        if let Some(kept) = self.state.reader.kept {
            self.probed(Step::ProbeArrives, kept);
        }
        self.read();
    }

    fn probed(&mut self, step: Step, kept: state::Kept) {
        let seen = state::Seen {
            view: kept.view,
            started: kept.started,
            finished: u8::from(self.state.reader.arrived),
        };
        let mut reader = self.state.reader;
        self.rules.answered(&mut reader, kept.index.into(), seen);
        if step == Step::ProbeArrives {
            reader.kept = None;
        }
        self.add(step, |after| after.reader = reader);
    }

    /// A read that is owed nothing cannot miss anything, so it is left out.
    fn read(&mut self) {
        let owed = self
            .state
            .confirmed()
            .map(|(write, _)| property::bit(write))
            .sum();
        if self.state.reader.arrived || owed == 0 {
            return;
        }
        self.add(Step::Read, |after| {
            after.reader.arrived = true;
            after.reader.owed = owed;
        });
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
            promote::Action::Fence { term } => state.fences |= mask(narrow(term)),
            promote::Action::Promote { index, term } => {
                let sent = &mut state.promotes[usize::from(narrow(term))];
                *sent |= 1 << index;
            }
            promote::Action::Claim { .. } | promote::Action::Announce { .. } => {}
        }
    }
}

fn indices() -> impl Iterator<Item = u8> {
    (0..).take(state::INSTANCES)
}

fn terms() -> impl Iterator<Item = u8> {
    (0..).take(state::TERMS)
}

fn mask(bit: u8) -> u8 {
    1 << bit
}

fn number(slot: usize) -> u8 {
    narrow(slot as u64 + 1)
}

fn narrow(value: u64) -> u8 {
    u8::try_from(value).expect("the model counts in bytes")
}
