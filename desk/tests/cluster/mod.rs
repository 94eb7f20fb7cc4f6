//! A group of fake instances in memory, and a node that is connected to them.

#![allow(dead_code)] // Each test binary uses only a part.

use std::cell;
use std::collections;
use std::rc;
use std::time;

use compact_str::CompactString;
use compact_str::format_compact;
use futures_util::FutureExt;
use futures_util::future;
use mangotray::id;
use mangotray::role;
use mangotray::stamp;
use mangotray_desk::boot;
use mangotray_desk::catalog;
use mangotray_desk::group;
use mangotray_desk::guarantees;
use mangotray_desk::key;
use mangotray_desk::lending::router;
use mangotray_desk::node;
use mangotray_desk::organisation;
use mangotray_desk::pool;
use mangotray_desk::reply;
use mangotray_desk::room::size;
use mangotray_desk::session;
use mangotray_desk::source;
use mangotray_desk::statement;
use mangotray_desk::upstream;
use mangotray_desk::urgency;
use mangotray_desk::wait;

/// Name of the group.
pub const GROUP: &str = "bookings";

/// A statement that an instance executed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ran {
    pub instance: upstream::Id,
    pub connection: u64,
    pub id: CompactString,
    pub text: CompactString,
    pub values: collections::BTreeMap<CompactString, CompactString>,
    pub inside: bool,
}

/// State and faults of an instance.
#[derive(Clone, Debug)]
#[allow(clippy::struct_excessive_bools)] // Each is a state or a fault that tests combine freely.
pub struct Instance {
    pub role: role::Role,
    pub term: id::Term,
    pub position: id::Position,
    pub held: id::Term,
    pub up: bool,
    /// Whether it has no power: it neither answers nor refuses, and keeps its log.
    pub dark: bool,
    pub draining: bool,
    /// Whether it is in the list of instances.
    pub listed: bool,
    /// Whether it belongs to another group.
    pub foreign: bool,
    /// Port of its address.
    pub port: u16,
    /// Number of following commits that take effect, but whose answers are lost.
    pub lose_answers: usize,
    /// Number of following statements that are refused as not run.
    pub refuse: usize,
    /// Start time of its process.
    pub born: upstream::StartTime,
    /// Replication lag, and the log position applied so far.
    pub lag: Option<(time::Duration, id::Position)>,
    /// Number of records that it receives as soon as any instance is held.
    pub ahead: id::Position,
}

/// All instances, the statements that they executed, and faults.
#[derive(Default)]
pub struct World {
    pub instances: collections::BTreeMap<upstream::Id, Instance>,
    pub ran: Vec<Ran>,
    pub connections: u64,
    pub status_queries: usize,
    /// Whether all answers are withheld.
    pub stalled: bool,
    /// Connections up to this number are broken: they never answer again.
    pub dead: u64,
    /// Number of following commands that set a value and fail.
    pub fail_sets: usize,
    /// Number of following commands that prepare a statement and fail.
    pub fail_prepares: usize,
    /// The instance that executes the statement with this number, counted over all instances,
    /// stops.
    pub die_after: Option<usize>,
    /// The next command equal to this one to this instance is delayed: its sender gets no answer,
    /// and it arrives when the test calls [`World::deliver`].
    pub delay: Option<(upstream::Id, upstream::Command)>,
    /// Delayed commands that have not arrived.
    pub late: Vec<(upstream::Id, upstream::Command)>,
    /// Whether the primary commits a write before each control command that any instance executes.
    pub commits: bool,
    /// Position of the last such write that a replica confirmed.
    pub confirmed: id::Position,
    /// Number of such writes that no replica confirmed.
    pub unconfirmed: usize,
    /// Number of confirmed writes that a promoted instance lacked.
    pub lost: id::Position,
    /// Number of commands that released an instance.
    pub released: usize,
}

pub type Shared = rc::Rc<cell::RefCell<World>>;

pub struct Dialer(pub Shared);

struct Connection {
    world: Shared,
    instance: upstream::Id,
    organisation: organisation::Name,
    number: u64,
    values: collections::BTreeMap<CompactString, CompactString>,
    prepared: collections::BTreeMap<CompactString, statement::Shape>,
    inside: bool,
}

/// Creates three instances; the first is the primary of term 1.
pub fn world() -> Shared {
    let instance = |role, port| Instance {
        role,
        port,
        term: 1,
        position: 10,
        held: 0,
        up: true,
        dark: false,
        foreign: false,
        draining: false,
        listed: true,
        lose_answers: 0,
        refuse: 0,
        born: 1,
        lag: None,
        ahead: 0,
    };
    let mut world = World::default();
    world
        .instances
        .insert("a".into(), instance(role::Role::Primary, 1));
    world
        .instances
        .insert("b".into(), instance(role::Role::Replica, 2));
    world
        .instances
        .insert("c".into(), instance(role::Role::Replica, 3));
    rc::Rc::new(cell::RefCell::new(world))
}

impl World {
    pub fn at(&mut self, id: &str) -> &mut Instance {
        self.instances.get_mut(id).expect("the instance exists")
    }

    /// The list of instances, as they report themselves.
    pub fn list(&self) -> Vec<catalog::Instance> {
        let entry = |(id, instance): (&upstream::Id, &Instance)| catalog::Instance {
            id: id.clone(),
            born: instance.born,
            group: GROUP.into(),
            address: ([127, 0, 0, 1], instance.port).into(),
            domain: "here".into(),
            slots: 3,
            draining: instance.draining,
            leads: instance.role == role::Role::Primary,
            any: false,
        };
        let listed = self
            .instances
            .iter()
            .filter(|(_, instance)| instance.listed);
        listed.map(entry).collect()
    }

    /// Makes `id` the primary of the next term; the state of the other instances doesn't change.
    pub fn promote(&mut self, id: &str) {
        let term = self.instances.values().map(|instance| instance.term).max();
        let confirmed = std::mem::take(&mut self.confirmed);
        let instance = self.at(id);
        let lost = confirmed.saturating_sub(instance.position);
        instance.role = role::Role::Primary;
        instance.term = term.unwrap_or_default() + 1;
        instance.held = 0;
        instance.lag = None;
        self.lost += lost;
    }

    // Commits a write on the latest primary. Every replica that is not held receives and confirms
    // it at once, listed or not.
    fn commit(&mut self) {
        let running = |instance: &&mut Instance| instance.up && !instance.dark;
        let primaries = self.instances.values_mut().filter(running);
        let primaries = primaries.filter(|instance| instance.role == role::Role::Primary);
        let Some(primary) = primaries.max_by_key(|instance| instance.term) else {
            return;
        };
        primary.position += 1;
        let (term, position) = (primary.term, primary.position);
        let replicas = self.instances.values_mut().filter(running);
        let follows = |instance: &&mut Instance| {
            instance.role == role::Role::Replica && instance.held == 0 && instance.term <= term
        };
        let mut confirmed = false;
        for replica in replicas.filter(follows) {
            (replica.term, replica.position) = (term, position);
            confirmed = true;
        }
        if confirmed {
            self.confirmed = position;
        } else {
            self.unconfirmed += 1;
        }
    }

    // Whether the address that is dialled belongs to an instance without power.
    fn is_dark(&self, target: &upstream::Target) -> bool {
        let port = target.address.port();
        let mut instances = self.instances.values();
        instances.any(|instance| instance.dark && instance.port == port)
    }

    /// Whether one of these commands is to be delayed; if so, it is stored in `late`.
    fn delays(&mut self, id: &upstream::Id, commands: &[upstream::Command]) -> bool {
        let delayed = |(to, command): &(upstream::Id, upstream::Command)| {
            to == id && commands.contains(command)
        };
        let delayed = self.delay.take_if(|delay| delayed(delay));
        let late = delayed.is_some();
        self.late.extend(delayed);
        late
    }

    /// Executes the delayed commands.
    pub fn deliver(&mut self) {
        for (id, command) in std::mem::take(&mut self.late) {
            self.command(&id, &command);
        }
    }

    // Applies a control command to an instance.
    fn command(&mut self, id: &upstream::Id, command: &upstream::Command) {
        self.released += usize::from(*command == upstream::Command::Resume);
        let instance = self.at(id);
        match command {
            upstream::Command::Hold(term) => instance.held = instance.held.max(*term),
            upstream::Command::Resume => instance.held = 0,
            upstream::Command::Demote(term) if instance.term < *term => {
                instance.role = role::Role::Replica;
                // It appends nothing more.
                instance.ahead = 0;
            }
            _ => {}
        }
    }

    /// Texts of the statements that an instance executed.
    pub fn texts(&self, id: &str) -> Vec<CompactString> {
        let ran = self.ran.iter().filter(|ran| ran.instance == id);
        ran.map(|ran| ran.text.clone()).collect()
    }
}

impl upstream::Dialer for Dialer {
    fn dial<'a>(
        &'a self,
        target: &'a upstream::Target,
    ) -> future::LocalBoxFuture<'a, Result<upstream::Dialled, upstream::Refusal>> {
        async move {
            let is_dark = self.0.borrow().is_dark(target);
            if is_dark {
                future::pending::<()>().await;
            }
            let mut world = self.0.borrow_mut();
            world.connections += 1;
            let number = world.connections;
            let mut up = world.instances.iter().filter(|(_, instance)| instance.up);
            let there = |instance: &Instance| instance.port == target.address.port();
            let found = if target.any {
                up.clone()
                    .find(|(_, instance)| there(instance) && !instance.foreign)
            } else {
                up.clone().find(|(id, _)| **id == target.id)
            };
            let Some((id, instance)) = found else {
                return Err(if up.any(|(_, instance)| there(instance)) {
                    upstream::Refusal::Wrong
                } else {
                    upstream::Refusal::Closed
                });
            };
            let id = id.clone();
            let stamp = stamp::Stamp::new(instance.term, instance.position);
            let connection = Connection {
                world: rc::Rc::clone(&self.0),
                instance: id,
                organisation: target.organisation.clone(),
                number,
                values: collections::BTreeMap::new(),
                prepared: collections::BTreeMap::new(),
                inside: false,
            };
            let connection: Box<dyn upstream::Connection> = Box::new(connection);
            Ok((connection, Some(stamp)))
        }
        .boxed_local()
    }

    fn status(&self, reply: &reply::Reply) -> Option<upstream::Status> {
        let mut words = reply.rows.first()?.split(' ');
        let role = match words.next()? {
            "primary" => role::Role::Primary,
            _ => role::Role::Replica,
        };
        let mut numbers = words.map(|word| word.parse::<u64>().expect("a number"));
        let term = numbers.next()?;
        let position = numbers.next()?;
        Some(upstream::Status {
            role,
            term,
            received: stamp::Stamp::new(term, position),
            held: numbers.next()?,
            load: upstream::Load {
                lag: time::Duration::from_millis(numbers.next()?),
            },
        })
    }
}

impl upstream::Connection for Connection {
    fn run<'a>(
        &'a mut self,
        commands: &'a [upstream::Command],
        _urgency: urgency::Urgency,
        organisation: &'a organisation::Name,
    ) -> future::LocalBoxFuture<'a, Result<Vec<reply::Reply>, upstream::Failure>> {
        assert_eq!(self.organisation, *organisation, "a foreign connection");
        async move {
            let delayed = self.world.borrow_mut().delays(&self.instance, commands);
            let dark = self.world.borrow_mut().at(&self.instance).dark;
            if delayed || dark || self.number <= self.world.borrow().dead {
                future::pending::<()>().await;
            }
            while self.world.borrow().stalled {
                wait::sleep(time::Duration::from_millis(5)).await;
            }
            let replies: Vec<_> = commands
                .iter()
                .map(|command| self.execute(command))
                .collect();
            replies.into_iter().collect()
        }
        .boxed_local()
    }

    fn silence_timeout(&self) -> time::Duration {
        time::Duration::from_secs(1)
    }

    fn alive(&mut self) -> bool {
        self.world
            .borrow()
            .instances
            .get(&self.instance)
            .is_some_and(|instance| instance.up)
    }
}

impl Connection {
    fn execute(&mut self, command: &upstream::Command) -> Result<reply::Reply, upstream::Failure> {
        let world = rc::Rc::clone(&self.world);
        let mut world = world.borrow_mut();
        if !world.at(&self.instance).up {
            return Err(lost());
        }
        let controls = matches!(
            command,
            upstream::Command::Status
                | upstream::Command::Hold(_)
                | upstream::Command::Resume
                | upstream::Command::Demote(_)
        );
        if world.commits && controls {
            world.commit();
        }
        match command {
            upstream::Command::Run { id, text, after } => {
                self.run_text(&mut world, id, text, *after)
            }
            upstream::Command::Execute {
                id,
                handle,
                arguments,
                after,
            } => {
                let Some(shape) = self.prepared.get(handle) else {
                    return Ok(self.fail(&world, reply::Code::NoStatement));
                };
                let verb = match shape.access {
                    statement::Access::Read => "READ",
                    statement::Access::Write => "WRITE",
                };
                let text = format_compact!("{verb} {arguments} AS {}", shape.text);
                self.run_text(&mut world, id, &text, *after)
            }
            upstream::Command::Begin {
                read_only, after, ..
            } => {
                let instance = world.at(&self.instance);
                if !read_only && instance.role == role::Role::Replica {
                    return Ok(self.fail(&world, reply::Code::ReadOnly));
                }
                if after.is_some_and(|after| after > applied(instance)) {
                    return Ok(self.fail(&world, reply::Code::Behind));
                }
                self.inside = true;
                Ok(self.done(&world, Vec::new()))
            }
            upstream::Command::Rollback { .. } => {
                self.inside = false;
                Ok(self.done(&world, Vec::new()))
            }
            upstream::Command::Set { .. } if world.fail_sets > 0 => {
                world.fail_sets -= 1;
                Ok(self.fail(&world, reply::Code::Failed))
            }
            upstream::Command::Set { name, value } => {
                self.values.insert(name.clone(), value.clone());
                Ok(self.done(&world, Vec::new()))
            }
            upstream::Command::Prepare { .. } if world.fail_prepares > 0 => {
                world.fail_prepares -= 1;
                Ok(self.fail(&world, reply::Code::Failed))
            }
            upstream::Command::Prepare { handle, shape } => {
                self.prepared.insert(handle.clone(), shape.clone());
                Ok(self.done(&world, Vec::new()))
            }
            upstream::Command::Reset => {
                self.values.clear();
                self.prepared.clear();
                Ok(self.done(&world, Vec::new()))
            }
            upstream::Command::Status => {
                world.status_queries += 1;
                Ok(self.status(&mut world))
            }
            upstream::Command::Hold(_) => {
                for instance in world.instances.values_mut() {
                    instance.position += std::mem::take(&mut instance.ahead);
                }
                world.command(&self.instance, command);
                Ok(self.status(&mut world))
            }
            upstream::Command::Resume | upstream::Command::Demote(_) => {
                world.command(&self.instance, command);
                Ok(self.status(&mut world))
            }
        }
    }

    fn run_text(
        &mut self,
        world: &mut World,
        id: &CompactString,
        text: &CompactString,
        after: Option<stamp::Stamp>,
    ) -> Result<reply::Reply, upstream::Failure> {
        let write = text.starts_with("WRITE");
        let instance = world.at(&self.instance);
        if instance.refuse > 0 {
            instance.refuse -= 1;
            return Ok(self.fail(world, reply::Code::Busy));
        }
        if after.is_some_and(|after| after > applied(instance)) {
            return Ok(self.fail(world, reply::Code::Behind));
        }
        if write && instance.role == role::Role::Replica {
            return Ok(self.fail(world, reply::Code::ReadOnly));
        }
        let commits = (write && !self.inside) || text == "COMMIT";
        instance.position += u64::from(commits);
        let lose = instance.lose_answers > 0 && commits;
        instance.lose_answers -= usize::from(lose);
        world.ran.push(Ran {
            instance: self.instance.clone(),
            connection: self.number,
            id: id.clone(),
            text: text.clone(),
            values: self.values.clone(),
            inside: self.inside,
        });
        if world.die_after == Some(world.ran.len()) {
            world.at(&self.instance).up = false;
        }
        if text == "COMMIT" {
            self.inside = false;
        }
        if lose {
            return Err(lost());
        }
        Ok(self.done(world, vec!["row".into()]))
    }

    fn status(&self, world: &mut World) -> reply::Reply {
        let instance = world.at(&self.instance).clone();
        let role = match instance.role {
            role::Role::Primary => "primary",
            role::Role::Replica => "replica",
        };
        let lag = instance.lag.map_or(0, |(lag, _)| lag.as_millis());
        let row = format_compact!(
            "{role} {} {} {} {lag}",
            instance.term,
            instance.position,
            instance.held
        );
        self.done(world, vec![row])
    }

    fn done(&self, world: &World, rows: Vec<CompactString>) -> reply::Reply {
        reply::Reply {
            rows,
            end: reply::End::Done("digest".into()),
            state: self.state(),
            position: Some(applied(&world.instances[&self.instance])),
        }
    }

    fn fail(&self, world: &World, code: reply::Code) -> reply::Reply {
        reply::Reply {
            rows: Vec::new(),
            end: reply::End::Error {
                code,
                text: "refused".into(),
            },
            state: self.state(),
            position: Some(applied(&world.instances[&self.instance])),
        }
    }

    const fn state(&self) -> reply::State {
        if self.inside {
            reply::State::Open
        } else {
            reply::State::Idle
        }
    }
}

fn applied(instance: &Instance) -> stamp::Stamp {
    let applied = instance.lag.map(|(_, applied)| applied);
    stamp::Stamp::new(instance.term, applied.unwrap_or(instance.position))
}

fn lost() -> upstream::Failure {
    upstream::Failure {
        sent: true,
        crowded: false,
        detail: "the connection was lost".into(),
    }
}

/// Timeout of a condition that a test waits for.
pub const LIMIT: time::Duration = time::Duration::from_secs(20);

/// Interval of a node's housekeeping.
const HOUSEKEEPING_INTERVAL: time::Duration = time::Duration::from_millis(300);

/// Longer than a restarting instance is missing from the list.
const UNLISTED_TIME: time::Duration = time::Duration::from_millis(6500);

/// Waits until `holds` returns true; panics with `what` after [`LIMIT`].
pub async fn until(what: &str, holds: impl Fn() -> bool) {
    let held = async {
        while !holds() {
            wait::sleep(time::Duration::from_millis(5)).await;
        }
    };
    wait::within(LIMIT, held).await.expect(what);
}

/// Commands of a read, as they are sent to an instance.
pub fn read(id: &str) -> Vec<upstream::Command> {
    vec![upstream::Command::Run {
        id: id.into(),
        text: "READ 1".into(),
        after: None,
    }]
}

/// A read that arrives now and has `limit` to be served.
pub fn need(freshness: catalog::Freshness, limit: time::Duration) -> source::Requirements {
    let now = boot::now();
    source::Requirements {
        arrived: now,
        freshness,
        writes: false,
        own: None,
        organisation: organisation::OWN,
        deadline: now + limit,
        urgency: None,
    }
}

/// A node that is connected to fake instances, with one route for each kind of freshness.
pub struct Cluster {
    pub world: Shared,
    pub node: rc::Rc<node::Node>,
    pub executor: rc::Rc<async_executor::LocalExecutor<'static>>,
}

impl Cluster {
    pub fn new() -> Self {
        Self::of(world())
    }

    /// A node that has just started and has the list of these instances.
    pub fn of(world: Shared) -> Self {
        let executor = rc::Rc::new(async_executor::LocalExecutor::new());
        Self::on(world, executor, "vm")
    }

    /// Another node that is connected to the same instances.
    pub fn another(&self, name: &str) -> Self {
        let world = rc::Rc::clone(&self.world);
        Self::on(world, rc::Rc::clone(&self.executor), name)
    }

    fn on(
        world: Shared,
        executor: rc::Rc<async_executor::LocalExecutor<'static>>,
        name: &str,
    ) -> Self {
        let dialer = rc::Rc::new(Dialer(rc::Rc::clone(&world)));
        let router = router::Router::new(name.into(), dialer, rc::Rc::clone(&executor));
        let node = node::Node::new(
            name.into(),
            "here".into(),
            router,
            rc::Rc::clone(&executor),
            guarantees::Guarantees::default(),
        );
        node.apply(catalog());
        node.group(&GROUP.into())
            .set_replication(1, time::Duration::ZERO);
        node.update(world.borrow().list(), Some(boot::now()), boot::now());
        Self {
            world,
            node,
            executor,
        }
    }

    /// Runs a test's future together with the node's tasks.
    pub fn run<T>(&self, test: impl Future<Output = T>) -> T {
        async_io::block_on(self.executor.run(test))
    }

    /// A pool of at most `max_connections` connections to the first instance, with at most
    /// `max_statements` statements at once.
    pub fn pool(&self, max_connections: usize, max_statements: usize) -> rc::Rc<pool::Pool> {
        let instance = self.world.borrow().list().remove(0);
        let dialer = rc::Rc::new(Dialer(rc::Rc::clone(&self.world)));
        let executor = rc::Rc::clone(&self.executor);
        let size = size::Size {
            max_connections,
            max_statements,
            ..size::Size::shared()
        };
        rc::Rc::new(pool::Pool::new(instance, dialer, executor, size))
    }

    pub fn session(&self, database: &str) -> session::Session {
        let key = key::Key::new("caller");
        session::Session::new(rc::Rc::clone(&self.node), database.into(), key)
    }

    /// Ends an instance for good and starts one of another group at its address.
    pub fn replace_at_address(&self, id: &str, successor: &str) {
        let mut world = self.world.borrow_mut();
        let ended = world.at(id);
        ended.up = false;
        ended.dark = false;
        ended.listed = false;
        let other = Instance {
            up: true,
            foreign: true,
            role: role::Role::Replica,
            ..ended.clone()
        };
        world.instances.insert(successor.into(), other);
    }

    /// Starts the node's periodic housekeeping.
    pub fn run_housekeeping(&self) {
        let node = rc::Rc::clone(&self.node);
        let maintenance = async move {
            loop {
                node.maintain();
                wait::sleep(HOUSEKEEPING_INTERVAL).await;
            }
        };
        self.executor.spawn(maintenance).detach();
    }

    /// Removes a running instance from the list, and waits longer than a restarting one is missing.
    pub async fn unlist(&self, id: &str) {
        self.world.borrow_mut().at(id).listed = false;
        self.relist();
        wait::sleep(UNLISTED_TIME).await;
    }

    /// Returns the group once its list of instances is settled.
    pub async fn settled(&self) -> rc::Rc<group::Group> {
        let group = self.node.group(&GROUP.into());
        until("the list is settled", || group.roster().is_settled()).await;
        group
    }

    /// Sends the current list of instances to the node.
    pub fn relist(&self) {
        let list = self.world.borrow().list();
        self.node.update(list, Some(boot::now()), boot::now());
    }
}

pub fn catalog() -> catalog::Catalog {
    let route = |database: &str, freshness| catalog::Route {
        version: 1,
        database: database.into(),
        group: GROUP.into(),
        freshness,
        timeout: time::Duration::from_secs(5),
        objective: time::Duration::from_millis(250),
        priority: 1,
        public: false,
    };
    let age = time::Duration::from_millis(1500);
    catalog::Catalog {
        version: 1,
        routes: vec![
            route("bounded", catalog::Freshness::Bounded(age)),
            route("current", catalog::Freshness::Current),
            route("own", catalog::Freshness::Own(age)),
        ],
        services: Vec::new(),
        transaction_idle: None,
        organisations: None,
    }
}

/// Parses a caller's request; its id is its text.
pub fn request(text: &str) -> statement::Request {
    let words: Vec<_> = text.split(' ').collect();
    let word = |index: usize| CompactString::from(*words.get(index).unwrap_or(&""));
    let statement = match words[0] {
        "BEGIN" => statement::Statement::Begin {
            read_only: words.len() > 1,
        },
        "COMMIT" => statement::Statement::Commit,
        "ROLLBACK" => statement::Statement::Rollback,
        "READ" => statement::Statement::Read,
        "WRITE" => statement::Statement::Write,
        "SET" => statement::Statement::Set {
            name: word(1),
            value: word(2),
        },
        "PREPARE" => statement::Statement::Prepare {
            name: word(1),
            shape: statement::Shape {
                access: if words[2] == "READ" {
                    statement::Access::Read
                } else {
                    statement::Access::Write
                },
                text: word(3),
            },
        },
        "EXEC" => statement::Statement::Execute {
            name: word(1),
            arguments: word(2),
        },
        "FORGET" => statement::Statement::Forget { name: word(1) },
        _ => statement::Statement::Unknown,
    };
    statement::Request {
        id: text.into(),
        text: text.into(),
        statement,
    }
}
