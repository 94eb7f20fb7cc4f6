//! What can happen next: writes, replication, confirmation and faults.

use crate::config;
use crate::config::Extra;
use crate::instance;
use crate::mutation::Mutation;
use crate::rules;
use crate::state;
use crate::step;

/// All that can happen next.
pub fn successors(
    state: &state::State,
    config: &config::Config,
    rules: &rules::Rules,
) -> Vec<(step::Step, state::State)> {
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

/// The steps out of one state.
pub struct Next<'a> {
    /// The state.
    pub state: &'a state::State,
    /// What is included.
    pub config: &'a config::Config,
    /// The proxies' rules.
    pub rules: &'a rules::Rules,
    found: Vec<(step::Step, state::State)>,
}

impl Next<'_> {
    /// Adds a step if it changes anything.
    pub fn add(&mut self, step: step::Step, change: impl FnOnce(&mut state::State)) {
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
        let write = step::number(slot);
        if write <= self.config.writes {
            for on in step::indices() {
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
                term: step::narrow(stamp.term),
                position: step::narrow(stamp.position),
                primary: on,
            };
            self.add(step::Step::Write { write, on }, |after| {
                after.instances[usize::from(on)] = instance;
                after.writes[slot] = state::Write::Answered(place);
            });
            if self.config.broken(Mutation::LostReported) {
                self.add(step::Step::WriteLost { write, on }, |after| {
                    after.instances[usize::from(on)] = instance;
                    after.writes[slot] = state::Write::NotRun;
                });
            }
        } else if self.config.has(Extra::Refusals) {
            self.add(step::Step::Refuse { write, on }, |after| {
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
                step::indices().for_each(|on| self.write(step::number(slot), on));
            }
        }
    }

    fn ships(&mut self) {
        for (from, to) in step::indices().flat_map(|from| step::indices().map(move |to| (from, to)))
        {
            let source = self.state.instances[usize::from(from)];
            let target = self.state.instances[usize::from(to)];
            let refused = target.fence > source.led || target.led == source.led;
            let broken = self.config.broken(Mutation::ShippedToFenced) && !target.leads();
            if source.led == 0 || from == to || (refused && !broken) {
                continue;
            }
            let target = self.shipped(&source, target);
            self.add(step::Step::Ship { from, to }, |after| {
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
        if self.readmitted(source, &target) {
            target.barrier = 0;
        }
        target
    }

    fn readmitted(&self, source: &instance::Instance, target: &instance::Instance) -> bool {
        let copied = target.log == source.log;
        let instances = &self.state.instances;
        match (self.config.mutation, self.config.readmission) {
            (Some(Mutation::CopiedVotes), _) => copied,
            (Some(Mutation::WitnessedVotes), _) => {
                let mut fences = instances.iter().map(|instance| instance.fence);
                copied && fences.all(|fence| fence <= source.led)
            }
            (_, config::Readmission::LaterTerm) => target.log.term() > target.barrier,
            (_, config::Readmission::KeptFence) => copied && source.led >= target.barrier,
        }
    }

    fn confirmations(&mut self) {
        for (slot, known) in self.state.writes.iter().enumerate() {
            let state::Write::Answered(place) = *known else {
                continue;
            };
            let write = step::number(slot);
            let confirm = |after: &mut state::State| {
                after.writes[slot] = state::Write::Confirmed(place);
            };
            for by in step::indices() {
                let view = self.view(by);
                if self.rules.confirmed(place, by, view) {
                    self.add(step::Step::Confirm { write, by }, confirm);
                }
            }
            if let Some(stale) = self.state.stale
                && self.rules.confirmed(place, stale.index, stale.view)
            {
                self.add(step::Step::ConfirmKept { write }, confirm);
            }
        }
        if self.config.has(Extra::StaleStatus) {
            for of in step::indices() {
                let kept = state::Kept {
                    index: of,
                    view: self.view(of).reduced(),
                    started: 0,
                };
                self.add(step::Step::Keep { of }, |after| after.stale = Some(kept));
            }
        }
    }

    /// What a probe of the instance would see.
    pub fn view(&self, index: u8) -> instance::View {
        self.state.instances[usize::from(index)].view()
    }

    fn faults(&mut self) {
        let replaced = self.config.has(Extra::Replacements);
        let fresh = self.rules.fresh();
        for promoter in (0..).take(state::PROMOTERS).filter(|_| replaced) {
            self.add(step::Step::Replace { promoter }, |after| {
                after.machines[usize::from(promoter)] = fresh;
                after.reserved[usize::from(promoter)] = 0;
                after.late[usize::from(promoter)] = None;
            });
        }
        for on in step::indices() {
            if self.state.wipes > 0 {
                let barrier = match self.config.readmission {
                    config::Readmission::LaterTerm => self.state.claimed,
                    config::Readmission::KeptFence => {
                        let instance = self.state.instances[usize::from(on)];
                        instance.fence.max(instance.barrier)
                    }
                };
                self.add(step::Step::Wipe { on }, |after| {
                    after.instances[usize::from(on)].wipe(barrier);
                    after.wipes -= 1;
                });
            }
            if self.state.restarts > 0 {
                let instance = self.restarted(self.state.instances[usize::from(on)]);
                self.add(step::Step::Restart { on }, |after| {
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
}
