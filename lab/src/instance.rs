//! One stand-in instance that speaks the `PostgreSQL` wire protocol.

use std::net;
use std::path;
use std::sync;
use std::sync::Arc;
use std::sync::atomic;

use mangotray::id;
use mangotray::role;
use mangotray::status;

use crate::backend;
use crate::cluster;
use crate::database;
use crate::gate;
use crate::journal;
use crate::sqlstate;
use crate::state;
use crate::stats;
use crate::storage;

/// Counted for all instances of the process, so that no incarnation repeats.
static NEXT_INCARNATION: atomic::AtomicU64 = atomic::AtomicU64::new(1);

/// One instance of a group.
pub(crate) struct Instance {
    pub(crate) index: id::Index,
    pub(crate) address: net::SocketAddr,
    pub(crate) options: Arc<cluster::Options>,
    /// Notified when replication may have work to do.
    pub(crate) changed: event_listener::Event,
    /// Closed while traffic to and from callers is stopped.
    pub(crate) network_gate: gate::Gate,
    /// Closed while the process is frozen.
    pub(crate) process_gate: gate::Gate,
    /// Limits the batches that run at once.
    pub(crate) slots: async_lock::Semaphore,
    /// Held by the session that runs a write transaction.
    pub(crate) write_lock: Arc<async_lock::Mutex<()>>,
    pub(crate) stats: sync::Mutex<stats::Stats>,
    directory: path::PathBuf,
    /// Number of the next data file; two concurrent rebuilds must not share one.
    next_generation: atomic::AtomicU64,
    /// Held while the role or the data changes, until the transactions that this revokes
    /// are rolled back. Without it, a record could be applied while a session of the
    /// demoted primary still holds the file's write lock and waits for the state's lock.
    transition: sync::Mutex<()>,
    state: sync::Mutex<state::State>,
    /// Open sessions, whose transactions a change of the role or the data revokes.
    sessions: sync::Mutex<Vec<sync::Weak<sync::Mutex<database::Database>>>>,
    /// Tasks that serve connections; a crash drops them.
    session_tasks: sync::Mutex<Vec<async_executor::Task<()>>>,
}

impl Instance {
    pub(crate) fn new(
        index: id::Index,
        address: net::SocketAddr,
        options: &Arc<cluster::Options>,
        directory: &path::Path,
    ) -> eyre::Result<Self> {
        let applier = storage::create(&data_file_path(directory, index, 0), &options.schema)?;
        let state = state::State {
            journal: journal::Journal::default(),
            fence: 0,
            lag: options.lag,
            replication_cut: false,
            running: true,
            role: role::Role::Replica,
            required_log_term: None,
            incarnation: incarnation(),
            write_epoch: 0,
            generation: 0,
            applier,
        };
        Ok(Self {
            index,
            address,
            options: Arc::clone(options),
            changed: event_listener::Event::new(),
            network_gate: gate::Gate::default(),
            process_gate: gate::Gate::default(),
            slots: async_lock::Semaphore::new(options.slots),
            write_lock: Arc::default(),
            stats: sync::Mutex::default(),
            directory: directory.to_owned(),
            next_generation: atomic::AtomicU64::new(1),
            transition: sync::Mutex::default(),
            state: sync::Mutex::new(state),
            sessions: sync::Mutex::default(),
            session_tasks: sync::Mutex::default(),
        })
    }

    /// Accepts connections until its task is dropped. While the instance is stopped, the
    /// listener stays bound, so that no other process takes its port, and closes each
    /// connection that it accepts.
    pub(crate) async fn listen(
        self: Arc<Self>,
        listener: async_io::Async<net::TcpListener>,
        executor: Arc<async_executor::Executor<'static>>,
    ) {
        loop {
            let Ok((socket, _)) = listener.accept().await else {
                continue;
            };
            let mut tasks = lock(&self.session_tasks);
            if self.state().running {
                let serving = backend::Backend::serve(Arc::clone(&self), socket);
                tasks.retain(|task| !task.is_finished());
                tasks.push(executor.spawn(serving));
            }
        }
    }

    pub(crate) fn state(&self) -> sync::MutexGuard<'_, state::State> {
        lock(&self.state)
    }

    /// Whether replication to and from the instance is possible.
    pub(crate) fn can_replicate(&self, state: &state::State) -> bool {
        let isolated = self.network_gate.is_closed() || self.process_gate.is_closed();
        state.running && !state.replication_cut && !isolated
    }

    pub(crate) fn status(&self) -> status::Status {
        self.state().status()
    }

    pub(crate) fn stats(&self) -> sync::MutexGuard<'_, stats::Stats> {
        lock(&self.stats)
    }

    /// Path of the data file and its number.
    pub(crate) fn data_file(&self) -> (path::PathBuf, u64) {
        let generation = self.state().generation;
        (
            data_file_path(&self.directory, self.index, generation),
            generation,
        )
    }

    /// Path and number for a new data file.
    fn new_data_file(&self) -> (path::PathBuf, u64) {
        let next_generation = self.next_generation.fetch_add(1, atomic::Ordering::Relaxed);
        (
            data_file_path(&self.directory, self.index, next_generation),
            next_generation,
        )
    }

    /// Opens a session on the data file, which later changes of the role can revoke.
    pub(crate) fn connect(&self) -> rusqlite::Result<Arc<sync::Mutex<database::Database>>> {
        let (path, generation) = self.data_file();
        let database = database::Database::open(&path, generation)?;
        let database = Arc::new(sync::Mutex::new(database));
        let mut sessions = lock(&self.sessions);
        sessions.retain(|session| session.strong_count() > 0);
        sessions.push(Arc::downgrade(&database));
        Ok(database)
    }

    /// Begins a write transaction if the instance leads; gives its write epoch.
    pub(crate) fn begin(&self, connection: &rusqlite::Connection) -> rusqlite::Result<Option<u64>> {
        let state = self.state();
        if !state.is_primary() {
            return Ok(None);
        }
        connection.execute_batch("BEGIN IMMEDIATE")?;
        Ok(Some(state.write_epoch))
    }

    /// Commits the connection's transaction and appends its record to the log; refused if
    /// the write epoch has changed since the transaction began.
    pub(crate) fn commit(
        &self,
        connection: &rusqlite::Connection,
        write_epoch: u64,
        writes: Vec<journal::Write>,
    ) -> Result<mangotray::stamp::Stamp, sqlstate::Error> {
        let mut state = self.state();
        if !state.is_primary() || state.write_epoch != write_epoch {
            return Err(sqlstate::Error::read_only("COMMIT"));
        }
        let record = state.journal.next_record(state.fence, writes);
        let stamp = record.stamp();
        storage::write_stamp(connection, stamp)?;
        connection.execute_batch("COMMIT")?;
        state.journal.append(Arc::new(record));
        drop(state);
        self.notify();
        Ok(stamp)
    }

    /// Raises the fence to `term`; a primary of a lower term becomes a replica.
    pub(crate) fn fence(&self, term: id::Term) -> status::Status {
        let _transition = lock(&self.transition);
        let mut state = self.state();
        let demoted = state.fence < term && state.role == role::Role::Primary;
        state.fence = state.fence.max(term);
        if demoted {
            state.demote();
        }
        let status = state.status();
        drop(state);
        if demoted {
            self.revoke(false);
        }
        self.notify();
        status
    }

    /// Becomes the primary of `term`; refused unless it is a voter fenced at this term.
    pub(crate) fn promote(&self, term: id::Term) -> Result<status::Status, sqlstate::Error> {
        let _transition = lock(&self.transition);
        let mut state = self.state();
        if state.fence != term {
            let message = format!("fenced at {}, not at {term}", state.fence);
            return Err(sqlstate::Error::new("55000", message));
        }
        if state.required_log_term.is_some() {
            let message = "lost its log and is no voter";
            return Err(sqlstate::Error::new("55000", message));
        }
        if state.role == role::Role::Replica {
            let record = Arc::new(state.journal.next_record(term, Vec::new()));
            storage::replay(&state.applier, std::slice::from_ref(&record))?;
            state.journal.append(record);
            state.role = role::Role::Primary;
        }
        let status = state.status();
        drop(state);
        self.notify();
        Ok(status)
    }

    /// Appends records of the primary of `term`; ignores them if they no longer follow the
    /// end of the log, or the instance no longer follows that primary.
    pub(crate) fn append(&self, term: id::Term, records: &[Arc<journal::Record>]) {
        let _transition = lock(&self.transition);
        let mut state = self.state();
        let next_position = state.journal.records().len() as id::Position + 1;
        let is_next = records
            .first()
            .is_some_and(|record| record.position == next_position);
        if !self.can_replicate(&state) || !state.accepts_log_of(term) || !is_next {
            return;
        }
        storage::replay(&state.applier, records).expect("records can be applied as on the primary");
        for record in records {
            state.journal.append(Arc::clone(record));
        }
        drop(state);
        self.notify();
    }

    /// Truncates the log to its first records, `prefix`, and replaces the data by a replay
    /// of them. Writes a second data file; readers see either the old or the new one.
    pub(crate) async fn rebuild(&self, term: id::Term, prefix: Vec<Arc<journal::Record>>) {
        let (_, generation) = self.data_file();
        let (path, next_generation) = self.new_data_file();
        let applier =
            storage::create(&path, &self.options.schema).expect("the schema can be applied");
        for records in prefix.chunks(journal::MAX_RECORDS_PER_LOCK) {
            storage::replay(&applier, records).expect("records can be applied again");
            futures_lite::future::yield_now().await;
        }
        let _transition = lock(&self.transition);
        let mut state = self.state();
        let unchanged = state.generation == generation && state.journal.starts_with(&prefix);
        if !self.can_replicate(&state) || !state.accepts_log_of(term) || !unchanged {
            return;
        }
        state.applier = applier;
        state.generation = next_generation;
        state.write_epoch += 1;
        state.journal.truncate(prefix.len());
        drop(state);
        self.revoke(true);
        self.notify();
    }

    /// Makes an instance that lost its log a voter again, if it has copied the whole log of
    /// `length` records of the primary of `term`.
    pub(crate) fn restore_vote(&self, term: id::Term, length: usize) {
        self.state().restore_vote(term, length);
    }

    pub(crate) fn notify(&self) {
        self.changed.notify(usize::MAX);
    }

    /// Rolls back the write transactions of all sessions, or with `include_readers` all
    /// their transactions.
    fn revoke(&self, include_readers: bool) {
        let sessions = lock(&self.sessions).clone();
        for session in sessions.iter().filter_map(sync::Weak::upgrade) {
            lock(&session).revoke(include_readers);
        }
    }

    /// Stops the process: closes sockets and rolls back open transactions. The log and the
    /// fence are kept.
    pub(crate) fn crash(&self) {
        let _transition = lock(&self.transition);
        let mut state = self.state();
        state.running = false;
        state.demote();
        drop(state);
        lock(&self.session_tasks).clear();
        self.revoke(true);
        self.notify();
    }

    /// Starts the process again as a replica.
    pub(crate) fn restart(&self) {
        let mut state = self.state();
        if !state.running {
            state.running = true;
            state.demote();
            state.incarnation = incarnation();
        }
        drop(state);
        self.notify();
    }

    /// Stops the process, deletes log, fence and data, and starts it again as a replica
    /// that is no voter.
    pub(crate) fn wipe(&self) -> eyre::Result<()> {
        self.crash();
        let (path, next_generation) = self.new_data_file();
        let applier = storage::create(&path, &self.options.schema)?;
        let mut state = self.state();
        state.applier = applier;
        state.generation = next_generation;
        state.lose_log();
        drop(state);
        self.restart();
        Ok(())
    }

    /// Stops or resumes traffic to and from callers, and replication.
    pub(crate) fn set_blackhole(&self, blackhole: bool) {
        self.network_gate.set_closed(blackhole);
        self.notify();
    }

    /// Freezes or resumes the process.
    pub(crate) fn set_paused(&self, paused: bool) {
        self.process_gate.set_closed(paused);
        self.notify();
    }
}

/// Locks a mutex. A poisoned one means that another task has panicked, which has already
/// failed the run.
pub(crate) fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().expect("no panic while locked")
}

fn incarnation() -> id::Incarnation {
    NEXT_INCARNATION.fetch_add(1, atomic::Ordering::Relaxed)
}

fn data_file_path(directory: &path::Path, index: id::Index, generation: u64) -> path::PathBuf {
    directory.join(format!("{index}-{generation}.db"))
}
