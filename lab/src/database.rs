//! SQL execution of an instance by an embedded library.

use std::path;

use mangotray::stamp;
use pgwire::messages::response;
use rusqlite::types;

use crate::column;
use crate::instance;
use crate::journal;
use crate::sqlstate;
use crate::statement;
use crate::storage;
use crate::value;

/// Result of one statement.
#[derive(Clone, Debug, Default)]
pub(crate) struct Answer {
    pub(crate) columns: Vec<column::Column>,
    pub(crate) rows: Vec<Vec<types::Value>>,
    /// Command tag; empty for an empty query.
    pub(crate) tag: String,
}

impl Answer {
    fn tagged(tag: &str) -> Self {
        let tag = tag.to_owned();
        Self {
            tag,
            ..Self::default()
        }
    }
}

/// Kind of the session's transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Idle,
    /// Ends with its batch.
    Implicit,
    Explicit,
}

/// What became of the transaction before its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Health {
    Sound,
    /// One of its statements failed.
    Failed,
    /// It was rolled back from outside.
    Revoked,
}

/// One session's handle on the instance's data, with its transaction.
pub(crate) struct Database {
    connection: rusqlite::Connection,
    generation: u64,
    phase: Phase,
    health: Health,
    /// Reign of the primary that a write transaction began under.
    reign: Option<u64>,
    /// Right to be the instance's one writer.
    writer: Option<async_lock::MutexGuardArc<()>>,
    writes: Vec<journal::Write>,
    savepoints: Vec<(String, usize)>,
    /// Stamp of the last transaction that ended.
    ended: Option<stamp::Stamp>,
}

impl Database {
    pub(crate) fn open(path: &path::Path, generation: u64) -> rusqlite::Result<Self> {
        Ok(Self {
            connection: storage::connect(path)?,
            generation,
            phase: Phase::Idle,
            health: Health::Sound,
            reign: None,
            writer: None,
            writes: Vec::new(),
            savepoints: Vec::new(),
            ended: None,
        })
    }

    /// Follows the instance to a rebuilt file, between transactions.
    pub(crate) fn refresh(&mut self, instance: &instance::Instance) -> rusqlite::Result<()> {
        let (path, generation) = instance.file();
        if !self.is_open() && self.generation != generation {
            self.connection = storage::connect(&path)?;
            self.generation = generation;
        }
        Ok(())
    }

    /// A transaction has begun and not yet ended, though it may have been rolled back.
    fn is_open(&self) -> bool {
        self.phase != Phase::Idle
    }

    pub(crate) fn is_writer(&self) -> bool {
        self.writer.is_some()
    }

    /// Takes the right to write, unless the instance has lost its lead meanwhile.
    pub(crate) fn lend(
        &mut self,
        instance: &instance::Instance,
        writer: async_lock::MutexGuardArc<()>,
    ) {
        self.writer = instance.state().is_primary().then_some(writer);
    }

    pub(crate) fn take_ended(&mut self) -> Option<stamp::Stamp> {
        self.ended.take()
    }

    pub(crate) fn status(&self) -> response::TransactionStatus {
        match (self.phase, self.health) {
            (Phase::Idle, _) => response::TransactionStatus::Idle,
            (_, Health::Sound) => response::TransactionStatus::Transaction,
            _ => response::TransactionStatus::Error,
        }
    }

    /// Runs one statement; a failure fails the transaction.
    pub(crate) fn run(
        &mut self,
        instance: &instance::Instance,
        statement: &statement::Statement,
        parameters: &[types::Value],
    ) -> Result<Answer, sqlstate::Error> {
        let result = self.dispatch(instance, statement, parameters);
        if result.is_err() {
            self.fail();
        }
        result
    }

    fn dispatch(
        &mut self,
        instance: &instance::Instance,
        statement: &statement::Statement,
        parameters: &[types::Value],
    ) -> Result<Answer, sqlstate::Error> {
        match &statement.verb {
            statement::Verb::Empty => return Ok(Answer::default()),
            statement::Verb::Commit => return self.commit(instance),
            statement::Verb::Rollback => {
                self.rollback(instance);
                return Ok(Answer::tagged("ROLLBACK"));
            }
            _ if self.health == Health::Revoked => return Err(sqlstate::Error::revoked()),
            statement::Verb::RollbackTo(name) => return self.rollback_to(name),
            _ if self.health == Health::Failed => return Err(sqlstate::Error::failed()),
            _ => {}
        }
        match &statement.verb {
            statement::Verb::Begin { read_only } => {
                if !self.is_open() {
                    self.begin(instance, *read_only)?;
                }
                self.phase = Phase::Explicit;
                Ok(Answer::tagged("BEGIN"))
            }
            statement::Verb::Savepoint(name) => self.savepoint(name),
            statement::Verb::Release(name) => self.release(name),
            statement::Verb::Setting => Ok(Answer::tagged(&statement.tag)),
            _ => {
                if !self.is_open() {
                    self.begin(instance, false)?;
                }
                self.execute(statement, parameters)
            }
        }
    }

    fn begin(
        &mut self,
        instance: &instance::Instance,
        read_only: bool,
    ) -> Result<(), sqlstate::Error> {
        if self.writer.is_some() && !read_only {
            self.reign = instance.begin(&self.connection)?;
        }
        if self.reign.is_none() {
            self.connection.execute_batch("BEGIN DEFERRED")?;
        }
        self.phase = Phase::Implicit;
        Ok(())
    }

    fn execute(
        &mut self,
        statement: &statement::Statement,
        parameters: &[types::Value],
    ) -> Result<Answer, sqlstate::Error> {
        if statement.writes() && self.reign.is_none() {
            return Err(sqlstate::Error::read_only(&statement.tag));
        }
        if statement.writes() && statement.volatile {
            let words = "a write must give the same result on each instance";
            return Err(sqlstate::Error::new("0A000", words));
        }
        let before = self.connection.total_changes();
        let mut answer = self.fetch(statement, parameters)?;
        let is_definition = statement.tag.contains(' ');
        if statement.writes() && (is_definition || self.connection.total_changes() != before) {
            self.writes.push(journal::Write {
                sql: statement.text.clone(),
                parameters: parameters.to_vec(),
            });
        }
        answer.tag = match statement.tag.as_str() {
            "INSERT" => format!("INSERT 0 {}", self.connection.changes()),
            tag @ ("UPDATE" | "DELETE") => format!("{tag} {}", self.connection.changes()),
            tag if is_definition => tag.to_owned(),
            _ => format!("SELECT {}", answer.rows.len()),
        };
        Ok(answer)
    }

    fn fetch(
        &self,
        statement: &statement::Statement,
        parameters: &[types::Value],
    ) -> Result<Answer, sqlstate::Error> {
        let mut prepared = self.connection.prepare_cached(&statement.text)?;
        storage::bind(&mut prepared, parameters)?;
        let mut columns = column::Column::all(&self.connection, statement, &prepared);
        let mut rows = Vec::new();
        let mut cursor = prepared.raw_query();
        while let Some(row) = cursor.next()? {
            let cells = (0..columns.len()).map(|at| row.get::<_, types::Value>(at));
            rows.push(cells.collect::<Result<Vec<_>, _>>()?);
        }
        for (at, column) in columns.iter_mut().enumerate() {
            let value = rows.iter().find_map(|row| value::Kind::of(&row[at]));
            column.kind = column.kind.or(value);
        }
        Ok(Answer {
            columns,
            rows,
            tag: String::new(),
        })
    }

    /// Types of a statement's parameters and columns, before it has run.
    pub(crate) fn describe(
        &self,
        statement: &statement::Statement,
        oids: &[u32],
    ) -> Result<(Vec<u32>, Vec<column::Column>), sqlstate::Error> {
        column::Column::describe(&self.connection, statement, oids)
    }

    fn savepoint(&mut self, name: &str) -> Result<Answer, sqlstate::Error> {
        self.require_block()?;
        self.connection
            .execute_batch(&format!("SAVEPOINT {name}"))?;
        self.savepoints.push((name.to_owned(), self.writes.len()));
        Ok(Answer::tagged("SAVEPOINT"))
    }

    fn release(&mut self, name: &str) -> Result<Answer, sqlstate::Error> {
        let at = self.find_savepoint(name)?;
        self.connection.execute_batch(&format!("RELEASE {name}"))?;
        self.savepoints.truncate(at);
        Ok(Answer::tagged("RELEASE"))
    }

    fn rollback_to(&mut self, name: &str) -> Result<Answer, sqlstate::Error> {
        let at = self.find_savepoint(name)?;
        self.connection
            .execute_batch(&format!("ROLLBACK TO {name}"))?;
        self.savepoints.truncate(at + 1);
        self.writes.truncate(self.savepoints[at].1);
        self.health = Health::Sound;
        Ok(Answer::tagged("ROLLBACK"))
    }

    fn find_savepoint(&self, name: &str) -> Result<usize, sqlstate::Error> {
        self.require_block()?;
        self.savepoints
            .iter()
            .rposition(|(other, _)| other == name)
            .ok_or_else(|| {
                sqlstate::Error::new("3B001", format!("savepoint {name} does not exist"))
            })
    }

    fn require_block(&self) -> Result<(), sqlstate::Error> {
        if self.phase == Phase::Explicit {
            return Ok(());
        }
        let words = "savepoints can only be used in transaction blocks";
        Err(sqlstate::Error::new("25P01", words))
    }

    fn commit(&mut self, instance: &instance::Instance) -> Result<Answer, sqlstate::Error> {
        if self.health == Health::Revoked {
            self.rollback(instance);
            return Err(sqlstate::Error::revoked());
        }
        if self.health == Health::Failed {
            self.rollback(instance);
            return Ok(Answer::tagged("ROLLBACK"));
        }
        if self.is_open() {
            self.finish_commit(instance)?;
        }
        Ok(Answer::tagged("COMMIT"))
    }

    fn finish_commit(&mut self, instance: &instance::Instance) -> Result<(), sqlstate::Error> {
        let writes = std::mem::take(&mut self.writes);
        let result = match self.reign {
            Some(reign) if !writes.is_empty() => instance.commit(&self.connection, reign, writes),
            _ => self.end_reading().map_err(sqlstate::Error::from),
        };
        match result {
            Ok(stamp) => {
                self.reset();
                self.ended = Some(stamp);
                Ok(())
            }
            Err(error) => {
                self.rollback(instance);
                Err(error)
            }
        }
    }

    /// Gives the stamp of the snapshot that the transaction saw.
    fn end_reading(&self) -> rusqlite::Result<stamp::Stamp> {
        let stamp = storage::read_stamp(&self.connection)?;
        self.connection.execute_batch("COMMIT")?;
        Ok(stamp)
    }

    fn rollback(&mut self, instance: &instance::Instance) {
        if self.is_open() {
            self.undo();
            self.reset();
            self.ended = Some(instance.status().stamp);
        }
    }

    fn undo(&mut self) {
        if !self.connection.is_autocommit() {
            self.connection
                .execute_batch("ROLLBACK")
                .expect("an open transaction rolls back");
        }
    }

    fn reset(&mut self) {
        self.phase = Phase::Idle;
        self.health = Health::Sound;
        self.reign = None;
        self.writer = None;
        self.writes.clear();
        self.savepoints.clear();
    }

    /// Ends the implicit transaction of a batch.
    pub(crate) fn finish(&mut self, instance: &instance::Instance) -> Result<(), sqlstate::Error> {
        if self.phase == Phase::Explicit {
            self.writer.take_if(|_| self.reign.is_none());
            return Ok(());
        }
        if self.health == Health::Failed {
            self.rollback(instance);
        }
        let result = self.commit(instance).map(drop);
        self.writer = None;
        result
    }

    /// Fails the transaction for an error outside its statements.
    pub(crate) fn fail(&mut self) {
        if self.is_open() && self.health == Health::Sound {
            self.health = Health::Failed;
        }
    }

    /// Rolls back from outside, because the instance changed its role or its data.
    pub(crate) fn revoke(&mut self, readers_too: bool) {
        if self.is_open() && (readers_too || self.reign.is_some()) {
            self.undo();
            self.health = Health::Revoked;
            self.reign = None;
        }
        self.writer = None;
    }
}
