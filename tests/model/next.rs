//! Expansion of a state: writes, replication, confirmations and faults.

use crate::config;
use crate::config::Extra;
use crate::instance;
use crate::mutation::Mutation;
use crate::rules;
use crate::state;
use crate::step;

/// All steps that change the state, with the states that they lead to.
pub fn successors(
    state: &state::State,
    config: &config::Config,
    rules: &rules::Rules,
) -> Vec<(step::Step, state::State)> {
    let mut expansion = Expansion {
        state,
        config,
        rules,
        successors: Vec::with_capacity(32),
    };
    expansion.add_writes();
    expansion.add_replication();
    expansion.add_confirmations();
    expansion.add_promoter_steps();
    expansion.add_unanswered_calls();
    expansion.add_faults();
    if config.includes(Extra::Reader) {
        expansion.add_reads();
    }
    expansion.successors
}

/// Expansion of one state into its successors.
pub struct Expansion<'a> {
    /// State to expand.
    pub state: &'a state::State,
    /// Scope of the search.
    pub config: &'a config::Config,
    /// Rules of the proxies.
    pub rules: &'a rules::Rules,
    successors: Vec<(step::Step, state::State)>,
}

impl Expansion<'_> {
    /// Adds a step if it changes the state.
    pub fn add(&mut self, step: step::Step, change: impl FnOnce(&mut state::State)) {
        let mut after = *self.state;
        change(&mut after);
        if after != *self.state {
            self.successors.push((step, after));
        }
    }

    fn add_writes(&mut self) {
        let Some(slot) = self
            .state
            .writes
            .iter()
            .position(|write| *write == state::Write::New)
        else {
            return self.add_retries();
        };
        let write = step::write_number(slot);
        if write <= self.config.writes {
            for index in step::indices() {
                self.add_write(write, index);
            }
        }
        self.add_retries();
    }

    fn add_write(&mut self, write: u8, index: u8) {
        let slot = usize::from(write - 1);
        let mut instance = self.state.instances[usize::from(index)];
        if let Some(stamp) = instance.write(write) {
            let place = state::Place {
                term: step::to_u8(stamp.term),
                position: step::to_u8(stamp.position),
                primary: index,
            };
            self.add(step::Step::Write { write, index }, |after| {
                after.instances[usize::from(index)] = instance;
                after.writes[slot] = state::Write::Answered(place);
            });
            if self.config.has_mutation(Mutation::LostAnswerReportedNotRun) {
                self.add(step::Step::WriteLost { write, index }, |after| {
                    after.instances[usize::from(index)] = instance;
                    after.writes[slot] = state::Write::NotRun;
                });
            }
        } else if self.config.includes(Extra::Refusals) {
            self.add(step::Step::Refuse { write, index }, |after| {
                after.writes[slot] = state::Write::NotRun;
            });
        }
    }

    /// Sends an answered write again, as if its answer had been lost, if that rule is broken.
    fn add_retries(&mut self) {
        if !self.config.has_mutation(Mutation::LostAnswerRetried) {
            return;
        }
        for (slot, known) in self.state.writes.iter().enumerate() {
            if matches!(known, state::Write::Answered(_)) {
                step::indices().for_each(|index| self.add_write(step::write_number(slot), index));
            }
        }
    }

    fn add_replication(&mut self) {
        for (from, to) in step::indices().flat_map(|from| step::indices().map(move |to| (from, to)))
        {
            let source = self.state.instances[usize::from(from)];
            let target = self.state.instances[usize::from(to)];
            let out_of_date =
                target.fence > source.last_led_term || target.last_led_term == source.last_led_term;
            let accepted_anyway =
                self.config.has_mutation(Mutation::LowerTermLogAccepted) && !target.is_primary();
            if source.last_led_term == 0 || from == to || (out_of_date && !accepted_anyway) {
                continue;
            }
            let target = self.after_shipping(&source, target);
            self.add(step::Step::Ship { from, to }, |after| {
                after.instances[usize::from(to)] = target;
            });
        }
    }

    fn after_shipping(
        &self,
        source: &instance::Instance,
        mut target: instance::Instance,
    ) -> instance::Instance {
        target.raise_fence(source.last_led_term);
        target.follow(source);
        if self.regains_vote(source, &target) {
            target.readmission_term = 0;
        }
        target
    }

    fn regains_vote(&self, source: &instance::Instance, target: &instance::Instance) -> bool {
        let copied = target.log == source.log;
        let instances = &self.state.instances;
        match (self.config.mutation, self.config.readmission) {
            (Some(Mutation::CopiedLogVotes), _) => copied,
            (Some(Mutation::WitnessedCopyVotes), _) => {
                let mut fences = instances.iter().map(|instance| instance.fence);
                copied && fences.all(|fence| fence <= source.last_led_term)
            }
            (_, config::Readmission::LaterTerm) => target.log.term() > target.readmission_term,
            (_, config::Readmission::KeptFence) => {
                copied && source.last_led_term >= target.readmission_term
            }
        }
    }

    fn add_confirmations(&mut self) {
        for (slot, known) in self.state.writes.iter().enumerate() {
            let state::Write::Answered(place) = *known else {
                continue;
            };
            let write = step::write_number(slot);
            let confirm = |after: &mut state::State| {
                after.writes[slot] = state::Write::Confirmed(place);
            };
            for index in step::indices() {
                let view = self.view(index);
                if self.rules.confirms(place, index, view) {
                    self.add(step::Step::Confirm { write, index }, confirm);
                }
            }
            if let Some(status) = self.state.kept_status
                && self.rules.confirms(place, status.index, status.view)
            {
                self.add(step::Step::ConfirmKept { write }, confirm);
            }
        }
        if self.config.includes(Extra::StaleStatus) {
            for index in step::indices() {
                let answer = state::Answer {
                    index,
                    view: self.view(index).promotion_view(),
                    started: 0,
                };
                self.add(step::Step::Keep { index }, |after| {
                    after.kept_status = Some(answer);
                });
            }
        }
    }

    /// Answer of the instance to a probe.
    pub fn view(&self, index: u8) -> instance::View {
        self.state.instances[usize::from(index)].view()
    }

    fn add_faults(&mut self) {
        let replaceable = self.config.includes(Extra::PromoterReplacement);
        let new_machine = self.rules.new_machine();
        for promoter in (0..).take(state::PROMOTERS).filter(|_| replaceable) {
            self.add(step::Step::Replace { promoter }, |after| {
                after.machines[usize::from(promoter)] = new_machine;
                after.reserved_terms[usize::from(promoter)] = 0;
                after.late_answers[usize::from(promoter)] = None;
            });
        }
        for index in step::indices() {
            if self.state.remaining_wipes > 0 {
                let readmission_term = match self.config.readmission {
                    config::Readmission::LaterTerm => self.state.highest_claimed_term,
                    config::Readmission::KeptFence => {
                        let instance = self.state.instances[usize::from(index)];
                        instance.fence.max(instance.readmission_term)
                    }
                };
                self.add(step::Step::Wipe { index }, |after| {
                    after.instances[usize::from(index)].wipe(readmission_term);
                    after.remaining_wipes -= 1;
                });
            }
            if self.state.remaining_restarts > 0 {
                let instance = self.after_restart(self.state.instances[usize::from(index)]);
                self.add(step::Step::Restart { index }, |after| {
                    after.instances[usize::from(index)] = instance;
                    after.remaining_restarts -= 1;
                });
            }
        }
    }

    fn after_restart(&self, mut instance: instance::Instance) -> instance::Instance {
        instance.incarnation += 1;
        if self.config.has_mutation(Mutation::FenceForgotten) {
            instance.fence = instance.log.term();
        }
        if self.config.has_mutation(Mutation::LastRecordForgotten) {
            instance.log.truncate(instance.log.len().saturating_sub(1));
        }
        instance
    }
}
