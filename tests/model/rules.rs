//! The production decision code, wrapped to break one rule where a search asks for it.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use mangotray::board;
use mangotray::detect;
use mangotray::id;
use mangotray::promote;
use mangotray::route;
use mangotray::stamp;
use mangotray::status;

use crate::config;
use crate::instance;
use crate::mutation::Mutation;
use crate::state;

/// Number that stands for a state of a promotion machine.
pub type Handle = u32;

/// Value of every deadline in a machine's state; time itself is not modelled.
const MACHINE_DEADLINE: Duration = Duration::from_secs(1);

/// A time after every deadline and after the delay of every rank.
const TIME_AFTER_DEADLINES: Duration = Duration::from_secs(9);

/// Rules of the proxies.
pub struct Rules {
    config: config::Config,
    machines: RefCell<Machines>,
}

/// Known states of promotion machines and the transitions between them.
#[derive(Default)]
struct Machines {
    states: Vec<promote::Machine>,
    handles: HashMap<promote::Machine, Handle>,
    steps: HashMap<(Handle, promote::Event, bool), (Handle, Vec<promote::Action>)>,
}

impl Rules {
    /// The rules of a configuration.
    pub fn new(config: &config::Config) -> Self {
        Self {
            config: *config,
            machines: RefCell::default(),
        }
    }

    /// Handle of a machine in its initial state.
    pub fn new_machine(&self) -> Handle {
        let machine = promote::Machine::new(state::INSTANCES, 0);
        self.machines.borrow_mut().handle(machine)
    }

    /// Phase of a machine.
    pub fn phase(&self, handle: Handle) -> promote::Phase {
        let machines = self.machines.borrow();
        machines.states[handle as usize].phase().clone()
    }

    /// Passes an event to a machine before any of its deadlines.
    pub fn step(&self, handle: Handle, event: promote::Event) -> (Handle, Vec<promote::Action>) {
        let event = match event {
            promote::Event::Fenced(index, status) => {
                promote::Event::Fenced(index, self.mutated_status(status))
            }
            other => other,
        };
        self.machines.borrow_mut().step(handle, event, false)
    }

    /// Lets a machine's deadline pass while it suspects the primary.
    pub fn timeout(&self, handle: Handle) -> (Handle, Vec<promote::Action>) {
        let event = promote::Event::Tick(detect::Verdict::Suspect(detect::Cause::Silent));
        self.machines.borrow_mut().step(handle, event, true)
    }

    /// Lets a machine suspect the primary and claim a term, to replace `replaced_instance` if
    /// it is given; also returns the term above which it claims.
    pub fn suspect(&self, handle: Handle, replaced_instance: Option<u8>) -> (Handle, id::Term) {
        let named = self
            .machines
            .borrow_mut()
            .set_replaced(handle, replaced_instance);
        let (waiting, _) = match self.phase(named) {
            promote::Phase::Idle => self.timeout(named),
            _ => (named, Vec::new()),
        };
        let (claiming, actions) = self.timeout(waiting);
        let [promote::Action::Claim { above }] = actions[..] else {
            unreachable!("a waiting machine claims a term after its delay");
        };
        (claiming, above)
    }

    /// Whether a probe's answer confirms a write.
    pub fn confirms(&self, place: state::Place, index: u8, view: instance::View) -> bool {
        let alone = self.config.has_mutation(Mutation::PrimaryAloneConfirms);
        if alone {
            return board::Board::new(1).confirmed(place.stamp(), 0, Duration::ZERO);
        }
        let mut status = self.mutated_status(view.status());
        let later = status.stamp.term > place.stamp().term;
        if later && self.config.has_mutation(Mutation::LaterTermConfirms) {
            status.stamp = place.stamp();
            status.fence = place.term.into();
        }
        if self.config.has_mutation(Mutation::HigherFenceConfirms) {
            status.fence = status.stamp.term;
        }
        let mut board = board::Board::new(state::INSTANCES);
        board.record_answer(index.into(), observation(0, 0, status));
        board.confirmed(place.stamp(), place.primary.into(), Duration::ZERO)
    }

    /// The part of a probe's answer that the reading proxy stores.
    pub fn reader_view(&self, view: instance::View) -> instance::View {
        if self.config.has_mutation(Mutation::FenceTermCompared) {
            return view;
        }
        view.read_view()
    }

    /// Records a probe's answer on the board of the reading proxy.
    pub fn record_answer(&self, reader: &mut state::Reader, index: usize, sample: state::Sample) {
        let mut board = self.board(&reader.samples);
        let observation = self.observation(sample);
        board.record_answer(index, observation);
        if board.instances()[index].last == Some(observation) {
            reader.samples[index] = Some(sample);
        }
    }

    /// Lowest stamp that a read without a token must see; `None` while it is unknown.
    pub fn floor(&self, reader: &state::Reader) -> Option<stamp::Stamp> {
        let read_arrived = id::Time::from_secs(1);
        if self.config.has_mutation(Mutation::OneSampledInstance) {
            return reader.samples.iter().flatten().find_map(|sample| {
                let mut board = board::Board::new(1);
                board.record_answer(0, self.observation(*sample));
                board.floor(read_arrived)
            });
        }
        self.board(&reader.samples).floor(read_arrived)
    }

    /// Whether the instance, of the given incarnation, may serve a read that must see `floor`.
    pub fn may_serve(
        &self,
        reader: &state::Reader,
        index: usize,
        floor: stamp::Stamp,
        incarnation: u8,
    ) -> bool {
        let stamp = reader.samples[index]
            .filter(|sample| self.incarnation_matches(sample.view.incarnation, incarnation))
            .map(|sample| self.mutated_status(sample.view.status()).stamp);
        let candidate = route::Candidate {
            index,
            stamp,
            usable: true,
            leaving: false,
            near: false,
            load: 0,
        };
        route::read(floor, None, &[candidate]).is_some()
    }

    fn incarnation_matches(&self, sampled: u8, current: u8) -> bool {
        sampled == current || self.config.has_mutation(Mutation::IncarnationIgnored)
    }

    fn board(&self, samples: &[Option<state::Sample>; state::INSTANCES]) -> board::Board {
        let mut board = board::Board::new(state::INSTANCES);
        for (index, sample) in samples.iter().enumerate() {
            if let Some(sample) = sample {
                board.record_answer(index, self.observation(*sample));
            }
        }
        board
    }

    fn observation(&self, sample: state::Sample) -> board::Observation {
        let started = if self.config.has_mutation(Mutation::AnswerTimeCompared) {
            sample.finished
        } else {
            sample.started
        };
        observation(
            started,
            sample.finished,
            self.mutated_status(sample.view.status()),
        )
    }

    /// The status as the broken rule, if any, reads it.
    fn mutated_status(&self, mut status: status::Status) -> status::Status {
        if self.config.has_mutation(Mutation::FenceTermCompared) {
            status.stamp.term = status.fence;
        }
        if self.config.has_mutation(Mutation::EmptyInstanceVotes) {
            status.voter = true;
        }
        status
    }
}

fn observation(started: u8, finished: u8, status: status::Status) -> board::Observation {
    board::Observation {
        started: id::Time::from_secs(started.into()),
        finished: id::Time::from_secs(finished.into()),
        status,
    }
}

impl Machines {
    fn handle(&mut self, machine: promote::Machine) -> Handle {
        let next = Handle::try_from(self.states.len()).expect("few machine states");
        let states = &mut self.states;
        *self.handles.entry(machine).or_insert_with_key(|machine| {
            states.push(machine.clone());
            next
        })
    }

    fn set_replaced(&mut self, handle: Handle, index: Option<u8>) -> Handle {
        let mut machine = self.states[handle as usize].clone();
        machine.set_replaced(index.map(usize::from));
        self.handle(machine)
    }

    fn step(
        &mut self,
        handle: Handle,
        event: promote::Event,
        past_deadlines: bool,
    ) -> (Handle, Vec<promote::Action>) {
        if let Some(known) = self.steps.get(&(handle, event, past_deadlines)) {
            return known.clone();
        }
        let mut machine = self.states[handle as usize].clone();
        let now = if past_deadlines {
            TIME_AFTER_DEADLINES
        } else {
            Duration::ZERO
        };
        let actions = machine.step(now, event);
        let next = self.handle(normalise_times(&machine));
        self.steps
            .insert((handle, event, past_deadlines), (next, actions.clone()));
        (next, actions)
    }
}

/// The machine with every deadline at `MACHINE_DEADLINE` and with its counts of tries and of
/// promotions cleared. The counts only lengthen waits; with them the state space would be
/// infinite.
fn normalise_times(machine: &promote::Machine) -> promote::Machine {
    let mut value = serde_json::to_value(machine).expect("machines serialise");
    value["tries"] = 0.into();
    value["recent"] = 0.into();
    value["quiet"] = serde_json::to_value(Duration::ZERO).expect("durations serialise");
    let phases = value["phase"].as_object_mut();
    for until in phases.into_iter().flat_map(|phases| phases.values_mut()) {
        until["until"] = serde_json::to_value(MACHINE_DEADLINE).expect("durations serialise");
    }
    serde_json::from_value(value).expect("machines deserialise")
}
