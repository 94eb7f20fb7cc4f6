//! The real decision code, with the broken variants around it.

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

/// Number of a promotion machine's state.
pub type Handle = u32;

/// Every deadline within a machine's state; time itself is not modelled.
const DEADLINE: Duration = Duration::from_secs(1);

/// A time after every deadline, and after every rank's delay.
const AFTER: Duration = Duration::from_secs(9);

/// The proxies' rules.
pub struct Rules {
    config: config::Config,
    machines: RefCell<Machines>,
}

/// All states of promotion machines met so far, and where their events lead.
#[derive(Default)]
struct Machines {
    known: Vec<promote::Machine>,
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

    /// Handle of a new machine.
    pub fn fresh(&self) -> Handle {
        let machine = promote::Machine::new(state::INSTANCES, 0);
        self.machines.borrow_mut().handle(machine)
    }

    /// Where a machine stands.
    pub fn phase(&self, handle: Handle) -> promote::Phase {
        let machines = self.machines.borrow();
        machines.known[handle as usize].phase().clone()
    }

    /// Gives an event to a machine before any of its deadlines.
    pub fn step(&self, handle: Handle, event: promote::Event) -> (Handle, Vec<promote::Action>) {
        let event = match event {
            promote::Event::Fenced(index, status) => {
                promote::Event::Fenced(index, self.told(status))
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

    /// Lets a machine suspect the primary, to replace `avoid` if given, and ask for a
    /// term; says above which.
    pub fn suspect(&self, handle: Handle, avoid: Option<u8>) -> (Handle, id::Term) {
        let named = self.machines.borrow_mut().avoid(handle, avoid);
        let (waiting, _) = match self.phase(named) {
            promote::Phase::Idle => self.timeout(named),
            _ => (named, Vec::new()),
        };
        let (claiming, actions) = self.timeout(waiting);
        let [promote::Action::Claim { above }] = actions[..] else {
            unreachable!("a waiting machine claims when its time has come");
        };
        (claiming, above)
    }

    /// Whether a probe's answer confirms a write.
    pub fn confirmed(&self, place: state::Place, index: u8, view: instance::View) -> bool {
        let alone = self.config.broken(Mutation::PrimaryConfirms);
        if alone {
            return board::Board::new(1).confirmed(place.stamp(), 0, Duration::ZERO);
        }
        let mut status = self.told(view.status());
        let later = status.stamp.term > place.stamp().term;
        if later && self.config.broken(Mutation::LaterTermConfirms) {
            status.stamp = place.stamp();
            status.fence = place.term.into();
        }
        if self.config.broken(Mutation::FencedConfirms) {
            status.fence = status.stamp.term;
        }
        let mut board = board::Board::new(state::INSTANCES);
        board.record_answer(index.into(), observation(0, 0, status));
        board.confirmed(place.stamp(), place.primary.into(), Duration::ZERO)
    }

    /// What the reading proxy keeps of a probe's answer.
    pub fn sampled(&self, view: instance::View) -> instance::View {
        if self.config.broken(Mutation::FenceTermCompared) {
            return view;
        }
        view.sampled()
    }

    /// Notes a probe's answer on the reading proxy's board.
    pub fn answered(&self, reader: &mut state::Reader, index: usize, seen: state::Seen) {
        let mut board = self.board(&reader.seen);
        let observation = self.observation(seen);
        board.record_answer(index, observation);
        if board.instances()[index].last == Some(observation) {
            reader.seen[index] = Some(seen);
        }
    }

    /// Stamp that a read which carries nothing must see.
    pub fn floor(&self, reader: &state::Reader) -> Option<stamp::Stamp> {
        let arrived = id::Time::from_secs(1);
        if self.config.broken(Mutation::OneSampled) {
            return reader.seen.iter().flatten().find_map(|seen| {
                let mut board = board::Board::new(1);
                board.record_answer(0, self.observation(*seen));
                board.floor(arrived)
            });
        }
        self.board(&reader.seen).floor(arrived)
    }

    /// Whether the instance may serve a read that must see `floor`.
    pub fn serves(
        &self,
        reader: &state::Reader,
        index: usize,
        floor: stamp::Stamp,
        now: u8,
    ) -> bool {
        let stamp = reader.seen[index]
            .filter(|seen| self.same(seen.view.incarnation, now))
            .map(|seen| self.told(seen.view.status()).stamp);
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

    fn same(&self, seen: u8, now: u8) -> bool {
        seen == now || self.config.broken(Mutation::IncarnationIgnored)
    }

    fn board(&self, seen: &[Option<state::Seen>; state::INSTANCES]) -> board::Board {
        let mut board = board::Board::new(state::INSTANCES);
        for (index, seen) in seen.iter().enumerate() {
            if let Some(seen) = seen {
                board.record_answer(index, self.observation(*seen));
            }
        }
        board
    }

    fn observation(&self, seen: state::Seen) -> board::Observation {
        let started = if self.config.broken(Mutation::FinishedCompared) {
            seen.finished
        } else {
            seen.started
        };
        observation(started, seen.finished, self.told(seen.view.status()))
    }

    /// The status as a broken rule reads it.
    fn told(&self, mut status: status::Status) -> status::Status {
        if self.config.broken(Mutation::FenceTermCompared) {
            status.stamp.term = status.fence;
        }
        if self.config.broken(Mutation::WipedVotes) {
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
        let next = Handle::try_from(self.known.len()).expect("few machine states");
        let known = &mut self.known;
        *self.handles.entry(machine).or_insert_with_key(|machine| {
            known.push(machine.clone());
            next
        })
    }

    fn avoid(&mut self, handle: Handle, index: Option<u8>) -> Handle {
        let mut machine = self.known[handle as usize].clone();
        machine.set_replaced(index.map(usize::from));
        self.handle(machine)
    }

    fn step(
        &mut self,
        handle: Handle,
        event: promote::Event,
        late: bool,
    ) -> (Handle, Vec<promote::Action>) {
        if let Some(known) = self.steps.get(&(handle, event, late)) {
            return known.clone();
        }
        let mut machine = self.known[handle as usize].clone();
        let now = if late { AFTER } else { Duration::ZERO };
        let actions = machine.step(now, event);
        let next = self.handle(timeless(&machine));
        self.steps
            .insert((handle, event, late), (next, actions.clone()));
        (next, actions)
    }
}

/// The machine with every deadline at `DEADLINE` and without its counts of tries and of
/// promotions, which only lengthen waits: the state space would have no end otherwise.
fn timeless(machine: &promote::Machine) -> promote::Machine {
    let mut value = serde_json::to_value(machine).expect("machines serialise");
    value["tries"] = 0.into();
    value["recent"] = 0.into();
    value["quiet"] = serde_json::to_value(Duration::ZERO).expect("durations serialise");
    let phases = value["phase"].as_object_mut();
    for until in phases.into_iter().flat_map(|phases| phases.values_mut()) {
        until["until"] = serde_json::to_value(DEADLINE).expect("durations serialise");
    }
    serde_json::from_value(value).expect("machines deserialise")
}
