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
use pgwire::messages::data;
use pgwire::messages::extendedquery;
use pgwire::messages::response;
use pgwire::messages::simplequery;
use pgwire::messages::startup;
use rusqlite::types;

use crate::database;
use crate::instance;
use crate::statement;
use crate::value;

const CANCEL_CODE: i32 = 80_877_102;
const SSL_CODE: i32 = 80_877_103;
const GSS_CODE: i32 = 80_877_104;
const FRAME_LIMIT: usize = 64 << 20;
const PARAMETERS: [(&str, &str); 6] = [
    ("server_version", "16.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];

/// Prepared statement of the extended protocol.
#[derive(Clone)]
struct Prepared {
    statement: Arc<statement::Statement>,
    parameters: Vec<u32>,
    columns: Vec<database::Column>,
}

/// Prepared statement with its parameters.
struct Portal {
    prepared: Prepared,
    values: Vec<types::Value>,
    formats: Vec<i16>,
}

/// Server side of one connection.
pub(crate) struct Backend {
    instance: Arc<instance::Instance>,
    database: Arc<sync::Mutex<database::Database>>,
    statements: HashMap<String, Prepared>,
    portals: HashMap<String, Portal>,
    output: bytes::BytesMut,
    /// An error was sent; the rest of the batch is skipped.
    skipping: bool,
}

/// Counts a connection for as long as it lives.
struct Seat(Arc<instance::Instance>);

impl Seat {
    fn take(instance: &Arc<instance::Instance>) -> Option<Self> {
        let mut stats = instance.stats();
        if stats.connections >= instance.options.connections {
            stats.refused_connections += 1;
            return None;
        }
        stats.connections += 1;
        stats.peak_connections = stats.peak_connections.max(stats.connections);
        Some(Self(Arc::clone(instance)))
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.0.stats().connections -= 1;
    }
}

/// Counts a busy slot.
struct Busy<'a>(&'a instance::Instance);

impl<'a> Busy<'a> {
    fn count(instance: &'a instance::Instance) -> Self {
        let mut stats = instance.stats();
        stats.busy += 1;
        stats.peak_busy = stats.peak_busy.max(stats.busy);
        Self(instance)
    }
}

impl Drop for Busy<'_> {
    fn drop(&mut self) {
        self.0.stats().busy -= 1;
    }
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
        if !negotiate(&instance, &mut stream).await? {
            return Ok(());
        }
        let seat = Seat::take(&instance);
        pause(instance.options.connect_cost).await;
        let mut backend = Self {
            database: instance.connect()?,
            instance,
            statements: HashMap::new(),
            portals: HashMap::new(),
            output: bytes::BytesMut::new(),
            skipping: false,
        };
        if seat.is_none() {
            let words = "sorry, too many clients already";
            backend.error("FATAL", &database::Error::new("53300", words));
            return backend.flush(&mut stream).await;
        }
        backend.greet();
        backend.flush(&mut stream).await?;
        let mut stream = wire::established(stream, FRAME_LIMIT);
        while let Some(batch) = read_batch(&mut stream).await? {
            arrive(&backend.instance).await;
            backend.answer(batch).await;
            backend.flush(&mut stream).await?;
        }
        Ok(())
    }

    async fn flush(&mut self, stream: &mut wire::Stream) -> eyre::Result<()> {
        let output = self.output.split();
        leave(&self.instance).await;
        stream.get_mut().get_mut().write_all(&output).await?;
        Ok(())
    }

    fn push<M: messages::Message>(&mut self, message: &M) {
        frame::Frame::encode(message).write(&mut self.output);
    }

    fn report(&mut self, name: &str, value: &dyn ToString) {
        let status = startup::ParameterStatus::new(name.to_owned(), value.to_string());
        self.push(&status);
    }

    fn error(&mut self, severity: &str, error: &database::Error) {
        let fields = vec![
            (b'S', severity.to_owned()),
            (b'V', severity.to_owned()),
            (b'C', error.code.to_owned()),
            (b'M', error.message.clone()),
        ];
        self.push(&response::ErrorResponse::new(fields));
    }

    fn greet(&mut self) {
        self.push(&startup::Authentication::Ok);
        for (name, value) in PARAMETERS {
            self.report(name, &value);
        }
        let incarnation = self.instance.status().incarnation;
        self.report("group_incarnation", &incarnation);
        self.push(&startup::BackendKeyData::new(0, startup::SecretKey::I32(0)));
        self.push(&response::ReadyForQuery::new(
            response::TransactionStatus::Idle,
        ));
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
        let _busy = Busy::count(&instance);
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
                        let kept = self.statements.get(&name).map(|kept| &kept.statement);
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

    fn fail(&mut self, error: &database::Error) {
        self.skipping = true;
        self.database().fail();
        self.error("ERROR", error);
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

    fn check(&mut self, result: Result<(), database::Error>) {
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
            self.report("group_stamp", &stamp);
        }
        self.push(&response::ReadyForQuery::new(status));
        self.skipping = false;
    }

    fn query(&mut self, frame: &frame::Frame) -> Result<(), database::Error> {
        let query = decode::<simplequery::Query>(frame)?.query;
        let statements = statement::Statement::parse_all(&query)?;
        if statements.is_empty() {
            self.push(&response::EmptyQueryResponse::new());
        }
        for (at, statement) in statements.iter().enumerate() {
            let answer = self.execute(statement, &[])?;
            let columns = &answer.columns;
            if !columns.is_empty() {
                self.push(&description(columns, &[]));
            }
            self.rows(&answer, columns, &[]);
            // An implicit transaction that cannot commit must not look complete.
            if at + 1 == statements.len() {
                let finished = self.database().finish(&self.instance);
                finished?;
            }
            self.push(&response::CommandComplete::new(answer.tag));
        }
        Ok(())
    }

    fn execute(
        &self,
        statement: &statement::Statement,
        parameters: &[types::Value],
    ) -> Result<database::Answer, database::Error> {
        // Fencing rolls back other sessions, so it must not hold this session's lock.
        if let statement::Verb::Control(control) = statement.verb {
            return self.control(control);
        }
        self.database().run(&self.instance, statement, parameters)
    }

    fn control(&self, control: statement::Control) -> Result<database::Answer, database::Error> {
        let status = match control {
            statement::Control::Status => self.instance.status(),
            statement::Control::Fence(term) => self.instance.fence(term),
            statement::Control::Promote(term) => self.instance.promote(term)?,
        };
        let role = match status.role {
            mangotray::role::Role::Primary => "primary",
            mangotray::role::Role::Replica => "replica",
        };
        let cells = [
            ("term", status.stamp.term.to_string()),
            ("position", status.stamp.position.to_string()),
            ("fence", status.fence.to_string()),
            ("role", role.to_owned()),
            ("voter", status.voter.to_string()),
            ("incarnation", status.incarnation.to_string()),
        ];
        let column = |name: &str| database::Column {
            name: name.to_owned(),
            kind: Some(value::Kind::Text),
        };
        Ok(database::Answer {
            columns: cells.iter().map(|(name, _)| column(name)).collect(),
            rows: vec![cells.map(|(_, cell)| types::Value::Text(cell)).to_vec()],
            tag: "SELECT 1".to_owned(),
        })
    }

    fn rows(&mut self, answer: &database::Answer, columns: &[database::Column], formats: &[i16]) {
        for row in &answer.rows {
            let mut message = data::DataRow::default();
            for (at, cell) in row.iter().enumerate() {
                let column = columns.get(at).and_then(|column| column.kind);
                let kind = column.unwrap_or(value::Kind::Text);
                kind.encode(cell, format(formats, at), &mut message);
            }
            self.push(&message);
        }
    }

    fn extended(&mut self, frame: &frame::Frame) -> Result<(), database::Error> {
        match frame.tag {
            extendedquery::MESSAGE_TYPE_BYTE_PARSE => self.parse(decode(frame)?),
            extendedquery::MESSAGE_TYPE_BYTE_BIND => self.bind(decode(frame)?),
            extendedquery::MESSAGE_TYPE_BYTE_DESCRIBE => self.describe(decode(frame)?),
            extendedquery::MESSAGE_TYPE_BYTE_EXECUTE => self.execute_portal(decode(frame)?),
            extendedquery::MESSAGE_TYPE_BYTE_CLOSE => {
                self.close(decode(frame)?);
                Ok(())
            }
            extendedquery::MESSAGE_TYPE_BYTE_FLUSH => Ok(()),
            tag => {
                let words = format!("message {:?} is not supported", char::from(tag));
                Err(database::Error::new("0A000", words))
            }
        }
    }

    fn parse(&mut self, parse: extendedquery::Parse) -> Result<(), database::Error> {
        let statement = statement::Statement::parse(&parse.query)?;
        let (parameters, columns) = match statement.verb {
            statement::Verb::Control(_) => {
                let status = self.control(statement::Control::Status)?;
                (Vec::new(), status.columns)
            }
            _ => self.database().describe(&statement, &parse.type_oids)?,
        };
        let prepared = Prepared {
            statement: Arc::new(statement),
            parameters,
            columns,
        };
        let name = parse.name.unwrap_or_default();
        self.statements.insert(name, prepared);
        self.push(&extendedquery::ParseComplete::new());
        Ok(())
    }

    fn bind(&mut self, bind: extendedquery::Bind) -> Result<(), database::Error> {
        let name = bind.statement_name.unwrap_or_default();
        let prepared = self.prepared(&name)?.clone();
        if bind.parameters.len() != prepared.parameters.len() {
            let words = "bind message has the wrong number of parameters";
            return Err(database::Error::new("08P01", words));
        }
        let decoded = bind.parameters.iter().enumerate().map(|(at, parameter)| {
            let kind = value::Kind::from_oid(prepared.parameters[at]);
            parameter.as_ref().map_or(Ok(types::Value::Null), |bytes| {
                kind.decode(bytes, format(&bind.parameter_format_codes, at))
            })
        });
        let values = decoded.collect::<Result<Vec<_>, _>>()?;
        let portal = Portal {
            prepared,
            values,
            formats: bind.result_column_format_codes,
        };
        let name = bind.portal_name.unwrap_or_default();
        self.portals.insert(name, portal);
        self.push(&extendedquery::BindComplete::new());
        Ok(())
    }

    fn prepared(&self, name: &str) -> Result<&Prepared, database::Error> {
        self.statements.get(name).ok_or_else(|| {
            let words = format!("prepared statement \"{name}\" does not exist");
            database::Error::new("26000", words)
        })
    }

    fn portal(&self, name: &str) -> Result<&Portal, database::Error> {
        self.portals.get(name).ok_or_else(|| {
            let words = format!("portal \"{name}\" does not exist");
            database::Error::new("34000", words)
        })
    }

    fn describe(&mut self, describe: extendedquery::Describe) -> Result<(), database::Error> {
        let name = describe.name.unwrap_or_default();
        let (columns, formats) = if describe.target_type == extendedquery::TARGET_TYPE_BYTE_PORTAL {
            let portal = self.portal(&name)?;
            (portal.prepared.columns.clone(), portal.formats.clone())
        } else {
            let prepared = self.prepared(&name)?.clone();
            self.push(&data::ParameterDescription::new(prepared.parameters));
            (prepared.columns, Vec::new())
        };
        if columns.is_empty() {
            self.push(&data::NoData::new());
        } else {
            self.push(&description(&columns, &formats));
        }
        Ok(())
    }

    fn execute_portal(&mut self, execute: extendedquery::Execute) -> Result<(), database::Error> {
        let name = execute.name.unwrap_or_default();
        let portal = self.portal(&name)?;
        let (prepared, formats) = (portal.prepared.clone(), portal.formats.clone());
        let answer = self.execute(&prepared.statement, &portal.values)?;
        self.rows(&answer, &prepared.columns, &formats);
        if answer.tag.is_empty() {
            self.push(&response::EmptyQueryResponse::new());
        } else {
            self.push(&response::CommandComplete::new(answer.tag));
        }
        Ok(())
    }

    fn close(&mut self, close: extendedquery::Close) {
        let name = close.name.unwrap_or_default();
        if close.target_type == extendedquery::TARGET_TYPE_BYTE_PORTAL {
            self.portals.remove(&name);
        } else {
            self.statements.remove(&name);
        }
        self.push(&extendedquery::CloseComplete::new());
    }
}

/// Answers encryption requests and reads the startup packet; false to hang up.
async fn negotiate(instance: &instance::Instance, stream: &mut wire::Stream) -> eyre::Result<bool> {
    while let Some(packet) = stream.next().await {
        let packet = packet?;
        arrive(instance).await;
        let code = packet.body.get(..4).map(<[u8; 4]>::try_from);
        match code.transpose()?.map(i32::from_be_bytes) {
            Some(SSL_CODE | GSS_CODE) => {
                let refusal = [response::SslResponse::BYTE_REFUSE];
                stream.get_mut().get_mut().write_all(&refusal).await?;
            }
            Some(CANCEL_CODE) | None => return Ok(false),
            Some(_) => return Ok(true),
        }
    }
    Ok(false)
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

async fn arrive(instance: &instance::Instance) {
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

fn decode<M: messages::Message>(frame: &frame::Frame) -> Result<M, database::Error> {
    frame
        .decode()
        .map_err(|error| database::Error::new("08P01", error.to_string()))
}

/// Format of a column or parameter: none given means text, one given holds for all.
fn format(formats: &[i16], at: usize) -> i16 {
    match formats {
        [] => data::FORMAT_CODE_TEXT,
        [all] => *all,
        each => each.get(at).copied().unwrap_or(data::FORMAT_CODE_TEXT),
    }
}

fn description(columns: &[database::Column], formats: &[i16]) -> data::RowDescription {
    let field = |(at, column): (usize, &database::Column)| {
        let kind = column.kind.unwrap_or(value::Kind::Text);
        let name = column.name.clone();
        data::FieldDescription::new(name, 0, 0, kind.oid(), kind.size(), -1, format(formats, at))
    };
    data::RowDescription::new(columns.iter().enumerate().map(field).collect())
}
