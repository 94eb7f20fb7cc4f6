//! Server side of a connection to a stand-in instance.

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

/// Longest message from a caller; longer ones end the session.
const MAX_FRAME_BYTES: usize = 64 << 20;

/// One caller's session at an instance.
pub(crate) struct Backend {
    instance: Arc<instance::Instance>,
    database: Arc<sync::Mutex<database::Database>>,
    prepared: prepared::Cache,
    output: output::Output,
    /// Set after an error, until the end of the batch.
    skips_rest_of_batch: bool,
}

impl Backend {
    /// Serves a connection until either side ends it.
    pub(crate) async fn serve(
        instance: Arc<instance::Instance>,
        socket: async_io::Async<net::TcpStream>,
    ) {
        if let Err(error) = Self::serve_session(instance, socket).await {
            tracing::debug!(%error, "session ended");
        }
    }

    async fn serve_session(
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
            skips_rest_of_batch: false,
        };
        if seat.is_none() {
            let message = "sorry, too many clients already";
            backend
                .output
                .error("FATAL", &sqlstate::Error::new("53300", message));
            return backend.flush(&mut stream).await;
        }
        handshake::complete(&backend.instance, &mut backend.output);
        backend.flush(&mut stream).await?;
        let mut stream = wire::established(stream, MAX_FRAME_BYTES);
        while let Some(batch) = read_batch(&mut stream).await? {
            let _batch = stats::Batch::count(&backend.instance);
            delay_request(&backend.instance).await;
            backend.run_batch(batch).await;
            backend.flush(&mut stream).await?;
        }
        Ok(())
    }

    async fn flush(&mut self, stream: &mut wire::Stream) -> eyre::Result<()> {
        let output = self.output.take();
        delay_answer(&self.instance).await;
        stream.get_mut().get_mut().write_all(&output).await?;
        Ok(())
    }

    /// Runs a batch. A batch with statements acquires the write lock first and a slot
    /// second, so that a session that waits for the lock never occupies a slot that the
    /// holder of the lock needs.
    async fn run_batch(&mut self, batch: Vec<frame::Frame>) {
        let instance = Arc::clone(&self.instance);
        let statements = self.statements_of(&batch);
        self.acquire_write_lock(&statements).await;
        if statements.is_empty() {
            self.process_frames(&batch);
            return;
        }
        let _slot = instance.slots.acquire().await;
        let _busy = stats::BusySlot::count(&instance);
        pause(instance.options.statement_cost).await;
        instance.process_gate.wait_until_open().await;
        instance.stats().statements += statements.len();
        self.process_frames(&batch);
    }

    /// Acquires the write lock if a statement writes and the instance is the primary.
    async fn acquire_write_lock(&self, statements: &[Arc<statement::Statement>]) {
        let writes = statements.iter().any(|statement| statement.writes());
        let is_primary = self.instance.state().is_primary();
        if writes && is_primary && !self.database().holds_write_lock() {
            let guard = self.instance.write_lock.lock_arc().await;
            self.database().set_write_guard(&self.instance, guard);
        }
    }

    /// Statements that the batch will run, without control commands.
    fn statements_of(&self, batch: &[frame::Frame]) -> Vec<Arc<statement::Statement>> {
        let mut parsed = HashMap::new();
        let mut found = Vec::new();
        for frame in batch {
            match frame.tag {
                simplequery::MESSAGE_TYPE_BYTE_QUERY => {
                    let query = frame.decode::<simplequery::Query>().ok();
                    let query = query.map(|query| statement::Statement::parse_all(&query.query));
                    let statements = query.and_then(Result::ok).unwrap_or_default();
                    found.extend(statements.into_iter().map(Arc::new));
                }
                extendedquery::MESSAGE_TYPE_BYTE_PARSE => {
                    if let Ok(parse) = frame.decode::<extendedquery::Parse>()
                        && let Ok(statement) = statement::Statement::parse(&parse.query)
                    {
                        parsed.insert(parse.name.unwrap_or_default(), Arc::new(statement));
                    }
                }
                extendedquery::MESSAGE_TYPE_BYTE_BIND => {
                    if let Ok(bind) = frame.decode::<extendedquery::Bind>() {
                        let name = bind.statement_name.unwrap_or_default();
                        let prepared = self.prepared.statement(&name).ok();
                        let prepared = prepared.map(|prepared| &prepared.statement);
                        found.extend(parsed.get(&name).or(prepared).cloned());
                    }
                }
                _ => {}
            }
        }
        found.retain(|statement| !matches!(statement.verb, statement::Verb::Control(_)));
        found
    }

    fn database(&self) -> sync::MutexGuard<'_, database::Database> {
        instance::lock(&self.database)
    }

    fn process_frames(&mut self, batch: &[frame::Frame]) {
        let refreshed = self.database().refresh(&self.instance);
        if let Err(error) = refreshed {
            self.fail(&error.into());
        }
        for frame in batch {
            self.process_frame(frame);
        }
    }

    fn fail(&mut self, error: &sqlstate::Error) {
        self.skips_rest_of_batch = true;
        self.database().fail();
        self.output.error("ERROR", error);
    }

    fn process_frame(&mut self, frame: &frame::Frame) {
        match frame.tag {
            simplequery::MESSAGE_TYPE_BYTE_QUERY => {
                let result = if self.skips_rest_of_batch {
                    Ok(())
                } else {
                    self.run_simple_query(frame)
                };
                self.fail_on_error(result);
                self.end_batch();
            }
            extendedquery::MESSAGE_TYPE_BYTE_SYNC => self.end_batch(),
            _ if self.skips_rest_of_batch => {}
            _ => {
                let result = self.run_extended_message(frame);
                self.fail_on_error(result);
            }
        }
    }

    fn fail_on_error(&mut self, result: Result<(), sqlstate::Error>) {
        if let Err(error) = result {
            self.fail(&error);
        }
    }

    /// Ends the implicit transaction, reports the stamp and sends `ReadyForQuery`.
    fn end_batch(&mut self) {
        let finished = self.database().end_batch(&self.instance);
        if !self.skips_rest_of_batch {
            self.fail_on_error(finished);
        }
        let (stamp, status) = {
            let mut database = self.database();
            (database.take_last_stamp(), database.status())
        };
        if let Some(stamp) = stamp {
            self.output.report("group_stamp", &stamp);
        }
        self.output.ready(status);
        self.skips_rest_of_batch = false;
    }

    fn run_simple_query(&mut self, frame: &frame::Frame) -> Result<(), sqlstate::Error> {
        let query = decode::<simplequery::Query>(frame)?.query;
        let statements = statement::Statement::parse_all(&query)?;
        if statements.is_empty() {
            self.output.push(&response::EmptyQueryResponse::new());
        }
        for (index, statement) in statements.iter().enumerate() {
            let answer = self.execute_statement(statement, &[])?;
            if !answer.columns.is_empty() {
                self.output.columns(&answer.columns, &[]);
            }
            self.output.rows(&answer, &answer.columns, &[]);
            // CommandComplete must not be sent before the implicit transaction has committed.
            if index + 1 == statements.len() {
                let finished = self.database().end_batch(&self.instance);
                finished?;
            }
            self.output.complete(answer.tag);
        }
        Ok(())
    }

    fn execute_statement(
        &self,
        statement: &statement::Statement,
        parameters: &[types::Value],
    ) -> Result<database::Answer, sqlstate::Error> {
        // A fence locks each session to roll it back, so this session must not be locked here.
        if let statement::Verb::Control(command) = statement.verb {
            return command.run(&self.instance);
        }
        self.database().run(&self.instance, statement, parameters)
    }

    fn run_extended_message(&mut self, frame: &frame::Frame) -> Result<(), sqlstate::Error> {
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
                let message = format!("message {:?} is not supported", char::from(tag));
                Err(sqlstate::Error::new("0A000", message))
            }
        }
    }

    fn parse(&mut self, parse: extendedquery::Parse) -> Result<(), sqlstate::Error> {
        let statement = statement::Statement::parse(&parse.query)?;
        let (parameter_oids, columns) = match statement.verb {
            statement::Verb::Control(_) => {
                let status = command::Command::Status.run(&self.instance)?;
                (Vec::new(), status.columns)
            }
            _ => self.database().describe(&statement, &parse.type_oids)?,
        };
        let prepared = prepared::Prepared {
            statement: Arc::new(statement),
            parameter_oids,
            columns,
        };
        self.prepared.insert(parse.name, prepared);
        self.output.push(&extendedquery::ParseComplete::new());
        Ok(())
    }

    fn execute_portal(&mut self, execute: extendedquery::Execute) -> Result<(), sqlstate::Error> {
        let name = execute.name.unwrap_or_default();
        let portal = self.prepared.portal(&name)?.clone();
        let answer = self.execute_statement(&portal.prepared.statement, &portal.values)?;
        let columns = &portal.prepared.columns;
        self.output.rows(&answer, columns, &portal.result_formats);
        self.output.complete(answer.tag);
        Ok(())
    }
}

/// Reads frames up to a Query, Sync or Flush; `None` when the caller has disconnected.
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

/// Delays a request by the network delay, and while the network or process is stopped.
pub(crate) async fn delay_request(instance: &instance::Instance) {
    pause(instance.options.delay).await;
    instance.network_gate.wait_until_open().await;
    instance.process_gate.wait_until_open().await;
}

/// Delays an answer by the network delay, and while the network or process is stopped.
async fn delay_answer(instance: &instance::Instance) {
    instance.process_gate.wait_until_open().await;
    pause(instance.options.delay).await;
    instance.network_gate.wait_until_open().await;
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
