//! One caller's session at an instance.

use std::collections::HashMap;
use std::net;
use std::sync;
use std::sync::Arc;
use std::time;

use futures_lite::AsyncWriteExt;
use futures_lite::StreamExt;
use mangotray::frame;
use mangotray::wire;
use pgwire::messages;
use pgwire::messages::extendedquery;
use pgwire::messages::response;
use pgwire::messages::simplequery;
use rusqlite::types;

use crate::command;
use crate::database;
use crate::handshake;
use crate::instance;
use crate::output;
use crate::prepared;
use crate::sqlstate;
use crate::statement;
use crate::stats;

const FRAME_LIMIT: usize = 64 << 20;
/// Server side of one connection.
pub(crate) struct Backend {
    instance: Arc<instance::Instance>,
    database: Arc<sync::Mutex<database::Database>>,
    prepared: prepared::Cache,
    output: output::Output,
    /// An error was sent; the rest of the batch is skipped.
    skipping: bool,
}

impl Backend {
    /// Serves a connection until either side ends it.
    pub(crate) async fn serve(
        instance: Arc<instance::Instance>,
        socket: async_io::Async<net::TcpStream>,
    ) {
        if let Err(error) = Self::converse(instance, socket).await {
            tracing::debug!(%error, "session ended");
        }
    }

    async fn converse(
        instance: Arc<instance::Instance>,
        socket: async_io::Async<net::TcpStream>,
    ) -> eyre::Result<()> {
        socket.get_ref().set_nodelay(true)?;
        let mut stream = wire::stream(Box::new(socket));
        if !handshake::negotiate(&instance, &mut stream).await? {
            return Ok(());
        }
        let seat = stats::Connection::acquire(&instance);
        pause(instance.options.connect_cost).await;
        let mut backend = Self {
            database: instance.connect()?,
            instance,
            prepared: prepared::Cache::default(),
            output: output::Output::default(),
            skipping: false,
        };
        if seat.is_none() {
            let words = "sorry, too many clients already";
            backend
                .output
                .error("FATAL", &sqlstate::Error::new("53300", words));
            return backend.flush(&mut stream).await;
        }
        handshake::greet(&backend.instance, &mut backend.output);
        backend.flush(&mut stream).await?;
        let mut stream = wire::established(stream, FRAME_LIMIT);
        while let Some(batch) = read_batch(&mut stream).await? {
            let _batch = stats::Batch::count(&backend.instance);
            arrive(&backend.instance).await;
            backend.answer(batch).await;
            backend.flush(&mut stream).await?;
        }
        Ok(())
    }

    async fn flush(&mut self, stream: &mut wire::Stream) -> eyre::Result<()> {
        let output = self.output.take();
        leave(&self.instance).await;
        stream.get_mut().get_mut().write_all(&output).await?;
        Ok(())
    }

    /// Runs a batch; work waits for the right to write first and for a slot then, so
    /// that a session that waits for the right never keeps a slot from its holder.
    async fn answer(&mut self, batch: Vec<frame::Frame>) {
        let instance = Arc::clone(&self.instance);
        let work = self.work(&batch);
        self.wait_for_writer(&work).await;
        if work.is_empty() {
            self.run(&batch);
            return;
        }
        let _slot = instance.slots.acquire().await;
        let _busy = stats::BusySlot::count(&instance);
        pause(instance.options.statement_cost).await;
        instance.process.pass().await;
        instance.stats().statements += work.len();
        self.run(&batch);
    }

    async fn wait_for_writer(&self, work: &[Arc<statement::Statement>]) {
        let writes = work.iter().any(|statement| statement.writes());
        let leads = self.instance.state().is_primary();
        if writes && leads && !self.database().is_writer() {
            let right = self.instance.writer.lock_arc().await;
            self.database().lend(&self.instance, right);
        }
    }

    /// Statements that the batch will run, those of the control path excepted.
    fn work(&self, batch: &[frame::Frame]) -> Vec<Arc<statement::Statement>> {
        let mut named = HashMap::new();
        let mut work = Vec::new();
        for frame in batch {
            match frame.tag {
                simplequery::MESSAGE_TYPE_BYTE_QUERY => {
                    let query = frame.decode::<simplequery::Query>().ok();
                    let query = query.map(|query| statement::Statement::parse_all(&query.query));
                    let statements = query.and_then(Result::ok).unwrap_or_default();
                    work.extend(statements.into_iter().map(Arc::new));
                }
                extendedquery::MESSAGE_TYPE_BYTE_PARSE => {
                    if let Ok(parse) = frame.decode::<extendedquery::Parse>()
                        && let Ok(statement) = statement::Statement::parse(&parse.query)
                    {
                        named.insert(parse.name.unwrap_or_default(), Arc::new(statement));
                    }
                }
                extendedquery::MESSAGE_TYPE_BYTE_BIND => {
                    if let Ok(bind) = frame.decode::<extendedquery::Bind>() {
                        let name = bind.statement_name.unwrap_or_default();
                        let kept = self.prepared.statement(&name).ok();
                        let kept = kept.map(|kept| &kept.statement);
                        work.extend(named.get(&name).or(kept).cloned());
                    }
                }
                _ => {}
            }
        }
        work.retain(|statement| !matches!(statement.verb, statement::Verb::Control(_)));
        work
    }

    fn database(&self) -> sync::MutexGuard<'_, database::Database> {
        instance::lock(&self.database)
    }

    fn run(&mut self, batch: &[frame::Frame]) {
        let refreshed = self.database().refresh(&self.instance);
        if let Err(error) = refreshed {
            self.fail(&error.into());
        }
        for frame in batch {
            self.step(frame);
        }
    }

    fn fail(&mut self, error: &sqlstate::Error) {
        self.skipping = true;
        self.database().fail();
        self.output.error("ERROR", error);
    }

    fn step(&mut self, frame: &frame::Frame) {
        match frame.tag {
            simplequery::MESSAGE_TYPE_BYTE_QUERY => {
                let result = if self.skipping {
                    Ok(())
                } else {
                    self.query(frame)
                };
                self.check(result);
                self.ready();
            }
            extendedquery::MESSAGE_TYPE_BYTE_SYNC => self.ready(),
            _ if self.skipping => {}
            _ => {
                let result = self.extended(frame);
                self.check(result);
            }
        }
    }

    fn check(&mut self, result: Result<(), sqlstate::Error>) {
        if let Err(error) = result {
            self.fail(&error);
        }
    }

    /// Ends the implicit transaction and the batch.
    fn ready(&mut self) {
        let finished = self.database().finish(&self.instance);
        if !self.skipping {
            self.check(finished);
        }
        let (ended, status) = {
            let mut database = self.database();
            (database.take_ended(), database.status())
        };
        if let Some(stamp) = ended {
            self.output.report("group_stamp", &stamp);
        }
        self.output.ready(status);
        self.skipping = false;
    }

    fn query(&mut self, frame: &frame::Frame) -> Result<(), sqlstate::Error> {
        let query = decode::<simplequery::Query>(frame)?.query;
        let statements = statement::Statement::parse_all(&query)?;
        if statements.is_empty() {
            self.output.push(&response::EmptyQueryResponse::new());
        }
        for (at, statement) in statements.iter().enumerate() {
            let answer = self.execute(statement, &[])?;
            if !answer.columns.is_empty() {
                self.output.columns(&answer.columns, &[]);
            }
            self.output.rows(&answer, &answer.columns, &[]);
            // An implicit transaction that cannot commit must not look complete.
            if at + 1 == statements.len() {
                let finished = self.database().finish(&self.instance);
                finished?;
            }
            self.output.complete(answer.tag);
        }
        Ok(())
    }

    fn execute(
        &self,
        statement: &statement::Statement,
        parameters: &[types::Value],
    ) -> Result<database::Answer, sqlstate::Error> {
        // Fencing rolls back other sessions, so it must not hold this session's lock.
        if let statement::Verb::Control(command) = statement.verb {
            return command.run(&self.instance);
        }
        self.database().run(&self.instance, statement, parameters)
    }

    fn extended(&mut self, frame: &frame::Frame) -> Result<(), sqlstate::Error> {
        match frame.tag {
            extendedquery::MESSAGE_TYPE_BYTE_PARSE => self.parse(decode(frame)?),
            extendedquery::MESSAGE_TYPE_BYTE_BIND => {
                self.prepared.bind(decode(frame)?)?;
                self.output.push(&extendedquery::BindComplete::new());
                Ok(())
            }
            extendedquery::MESSAGE_TYPE_BYTE_DESCRIBE => {
                self.prepared.describe(decode(frame)?, &mut self.output)
            }
            extendedquery::MESSAGE_TYPE_BYTE_EXECUTE => self.execute_portal(decode(frame)?),
            extendedquery::MESSAGE_TYPE_BYTE_CLOSE => {
                self.prepared.close(decode(frame)?);
                self.output.push(&extendedquery::CloseComplete::new());
                Ok(())
            }
            extendedquery::MESSAGE_TYPE_BYTE_FLUSH => Ok(()),
            tag => {
                let words = format!("message {:?} is not supported", char::from(tag));
                Err(sqlstate::Error::new("0A000", words))
            }
        }
    }

    fn parse(&mut self, parse: extendedquery::Parse) -> Result<(), sqlstate::Error> {
        let statement = statement::Statement::parse(&parse.query)?;
        let (parameters, columns) = match statement.verb {
            statement::Verb::Control(_) => {
                let status = command::Command::Status.run(&self.instance)?;
                (Vec::new(), status.columns)
            }
            _ => self.database().describe(&statement, &parse.type_oids)?,
        };
        let prepared = prepared::Prepared {
            statement: Arc::new(statement),
            parameters,
            columns,
        };
        self.prepared.insert(parse.name, prepared);
        self.output.push(&extendedquery::ParseComplete::new());
        Ok(())
    }

    fn execute_portal(&mut self, execute: extendedquery::Execute) -> Result<(), sqlstate::Error> {
        let name = execute.name.unwrap_or_default();
        let portal = self.prepared.portal(&name)?.clone();
        let answer = self.execute(&portal.prepared.statement, &portal.values)?;
        let columns = &portal.prepared.columns;
        self.output.rows(&answer, columns, &portal.formats);
        self.output.complete(answer.tag);
        Ok(())
    }
}

/// Reads frames up to a Query, Sync or Flush; nothing when the caller is gone.
async fn read_batch(stream: &mut wire::Stream) -> eyre::Result<Option<Vec<frame::Frame>>> {
    let mut batch = Vec::new();
    while let Some(frame) = stream.next().await {
        let frame = frame?;
        let tag = frame.tag;
        if tag == messages::terminate::MESSAGE_TYPE_BYTE_TERMINATE {
            return Ok(None);
        }
        batch.push(frame);
        if matches!(
            tag,
            simplequery::MESSAGE_TYPE_BYTE_QUERY
                | extendedquery::MESSAGE_TYPE_BYTE_SYNC
                | extendedquery::MESSAGE_TYPE_BYTE_FLUSH
        ) {
            return Ok(Some(batch));
        }
    }
    Ok(None)
}

/// Waits until bytes from the caller reach the process.
pub(crate) async fn arrive(instance: &instance::Instance) {
    pause(instance.options.delay).await;
    instance.network.pass().await;
    instance.process.pass().await;
}

async fn leave(instance: &instance::Instance) {
    instance.process.pass().await;
    pause(instance.options.delay).await;
    instance.network.pass().await;
}

async fn pause(duration: time::Duration) {
    if !duration.is_zero() {
        async_io::Timer::after(duration).await;
    }
}

fn decode<M: messages::Message>(frame: &frame::Frame) -> Result<M, sqlstate::Error> {
    frame
        .decode()
        .map_err(|error| sqlstate::Error::new("08P01", error.to_string()))
}
