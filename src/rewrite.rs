//! Makes a batch of the extended protocol self-contained and adapts its answer for the caller.

use std::collections;
use std::sync;

use compact_str::CompactString;

use crate::extended;
use crate::frame;
use crate::prepared;

/// Name that no statement on an upstream connection has. It replaces the name of a statement that
/// the caller has not prepared, so that the database itself returns the error, in order and with
/// its effect on the transaction. The caller's name could match a statement of another session.
const UNKNOWN_STATEMENT: &str = "mangotray_none";

/// One message of the rewritten batch.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Step {
    message: extended::Message,
    /// Whether the proxy has added the message; the caller must not receive its answer.
    added_by_proxy: bool,
    effect: Option<prepared::Effect>,
    /// The caller's name of the statement, for error messages.
    caller_name: CompactString,
}

/// A rewritten batch for an upstream.
#[derive(Debug, Default)]
pub struct Rewrite {
    steps: Vec<Step>,
}

/// Rewrites a batch message by message.
#[derive(Debug)]
pub(crate) struct Builder<'a> {
    statements: &'a prepared::Statements,
    rewrite: Rewrite,
    /// Caller's names that the batch defines, or closes (`None`).
    batch_names: collections::HashMap<CompactString, Option<sync::Arc<prepared::Statement>>>,
    /// Statements that the batch has prepared on the connection so far, by upstream name.
    on_connection: collections::BTreeMap<CompactString, sync::Arc<prepared::Statement>>,
    /// Whether a portal may outlive the batch; closing its statement would close it too.
    portals_may_outlive_batch: bool,
}

/// Answer of an upstream as adapted for the caller.
#[derive(Debug, PartialEq, Eq)]
pub struct Answer {
    /// Frames for the caller.
    pub frames: Vec<frame::Frame>,
    /// Effects of the messages that have run.
    pub effects: Vec<prepared::Effect>,
}

impl<'a> Builder<'a> {
    pub(crate) fn new(statements: &'a prepared::Statements) -> Self {
        Self {
            statements,
            rewrite: Rewrite::default(),
            batch_names: collections::HashMap::new(),
            on_connection: collections::BTreeMap::new(),
            portals_may_outlive_batch: false,
        }
    }

    pub(crate) fn finish(self) -> Rewrite {
        self.rewrite
    }

    /// Appends a message of the caller, after the messages that it requires.
    pub(crate) fn push(
        &mut self,
        message: &extended::Message,
        reference: Option<&sync::Arc<prepared::Statement>>,
    ) {
        match (message, reference) {
            (extended::Message::Parse(parse), Some(statement)) => self.push_parse(parse, statement),
            (extended::Message::Bind(bind), _) => {
                self.portals_may_outlive_batch |= !bind.portal.is_empty();
                let statement = self.ensure_prepared(&bind.statement, reference);
                let rewritten = extended::Bind {
                    statement,
                    ..bind.clone()
                };
                self.push_callers(extended::Message::Bind(rewritten), None, &bind.statement);
            }
            (extended::Message::Describe(extended::Target::Statement(name)), _) => {
                let target = extended::Target::Statement(self.ensure_prepared(name, reference));
                self.push_callers(extended::Message::Describe(target), None, name);
            }
            (extended::Message::Close(extended::Target::Statement(name)), _) => {
                self.push_close(name, message);
            }
            (extended::Message::Sync, _) => self.push_sync(),
            (extended::Message::Execute { max_rows, .. }, _) => {
                self.portals_may_outlive_batch |= *max_rows > 0;
                self.push_callers(message.clone(), None, "");
            }
            _ => self.push_callers(message.clone(), None, ""),
        }
    }

    fn push_callers(
        &mut self,
        message: extended::Message,
        effect: Option<prepared::Effect>,
        name: &str,
    ) {
        self.rewrite.steps.push(Step {
            message,
            added_by_proxy: false,
            effect,
            caller_name: name.into(),
        });
    }

    fn push_added(&mut self, message: extended::Message) {
        self.rewrite.steps.push(Step {
            message,
            added_by_proxy: true,
            effect: None,
            caller_name: CompactString::default(),
        });
    }

    fn find_statement(&self, name: &str) -> Option<sync::Arc<prepared::Statement>> {
        self.batch_names
            .get(name)
            .cloned()
            .unwrap_or_else(|| self.statements.get(name).cloned())
    }

    fn push_parse(&mut self, parse: &extended::Parse, statement: &sync::Arc<prepared::Statement>) {
        let effect = Some(prepared::Effect::Store(
            parse.name.clone(),
            statement.clone(),
        ));
        let old = self
            .find_statement(&parse.name)
            .filter(|_| !parse.name.is_empty());
        let upstream = match &old {
            // The name is in use; the database itself returns the error for the duplicate.
            Some(statement) => self.ensure_prepared(&parse.name, Some(statement)),
            None => upstream_name(&parse.name, statement),
        };
        if old.is_none() {
            self.close_leftover(&upstream, &parse.name);
            self.batch_names
                .insert(parse.name.clone(), Some(statement.clone()));
            self.on_connection
                .insert(upstream.clone(), statement.clone());
        }
        let rewritten = extended::Parse {
            name: upstream,
            ..parse.clone()
        };
        self.push_callers(extended::Message::Parse(rewritten), effect, &parse.name);
    }

    /// Closes a statement of that name that an earlier batch may have left on the connection.
    fn close_leftover(&mut self, upstream: &CompactString, name: &str) {
        if !name.is_empty() {
            let target = extended::Target::Statement(upstream.clone());
            self.push_added(extended::Message::Close(target));
        }
    }

    /// Ensures that a statement is prepared and returns its name on the connection.
    fn ensure_prepared(
        &mut self,
        name: &CompactString,
        reference: Option<&sync::Arc<prepared::Statement>>,
    ) -> CompactString {
        let Some(statement) = reference else {
            return UNKNOWN_STATEMENT.into();
        };
        let upstream = upstream_name(name, statement);
        if self.on_connection.get(&upstream) != Some(statement) {
            self.close_leftover(&upstream, name);
            self.push_added(extended::Message::Parse(extended::Parse {
                name: upstream.clone(),
                query: statement.query.clone(),
                parameter_types: statement.types.clone(),
            }));
            self.on_connection
                .insert(upstream.clone(), statement.clone());
        }
        upstream
    }

    fn push_close(&mut self, name: &CompactString, message: &extended::Message) {
        let upstream = match self.find_statement(name) {
            Some(_) if name.is_empty() => CompactString::default(),
            Some(statement) => statement.upstream_name.clone(),
            None => UNKNOWN_STATEMENT.into(),
        };
        self.on_connection.remove(&upstream);
        self.batch_names.insert(name.clone(), None);
        let target = extended::Target::Statement(upstream);
        let effect = prepared::effect(message, None);
        self.push_callers(extended::Message::Close(target), effect, name);
    }

    /// Closes the batch's statements before the Sync. Otherwise the statements of all callers
    /// would accumulate on a pooled connection over days.
    fn push_sync(&mut self) {
        let on_connection = std::mem::take(&mut self.on_connection);
        let named = on_connection.into_keys().filter(|name| !name.is_empty());
        if !self.portals_may_outlive_batch {
            for name in named {
                self.push_added(extended::Message::Close(extended::Target::Statement(name)));
            }
        }
        self.push_callers(extended::Message::Sync, None, "");
    }
}

impl Rewrite {
    /// Frames to send to the upstream.
    #[must_use]
    pub fn frames(&self) -> Vec<frame::Frame> {
        self.steps
            .iter()
            .map(|step| step.message.encode())
            .collect()
    }

    /// Removes the answers to messages that the proxy has added. After an error the database skips
    /// to the Sync, so all frames from the error on are for the caller.
    #[must_use]
    pub fn filter_answer(&self, frames: Vec<frame::Frame>) -> Answer {
        let mut steps = self.steps.iter().peekable();
        let mut answer = Answer {
            frames: Vec::with_capacity(frames.len()),
            effects: Vec::new(),
        };
        let mut failed = false;
        for frame in frames {
            failed |= frame.tag == b'E';
            let Some(step) = steps.peek().copied() else {
                answer.frames.push(frame);
                continue;
            };
            if failed || is_asynchronous(frame.tag) {
                answer.frames.push(step.with_caller_name(frame));
                continue;
            }
            if ends_answer(&step.message, frame.tag) {
                steps.next();
                answer.effects.extend(step.effect.clone());
            }
            if !step.added_by_proxy {
                answer.frames.push(frame);
            }
        }
        answer
    }
}

impl Step {
    /// Replaces the upstream name in an error with the caller's name.
    fn with_caller_name(&self, frame: frame::Frame) -> frame::Frame {
        let upstream = match &self.message {
            extended::Message::Parse(parse) => &parse.name,
            extended::Message::Bind(bind) => &bind.statement,
            extended::Message::Describe(extended::Target::Statement(name)) => name,
            _ => return frame,
        };
        let text = std::str::from_utf8(&frame.body);
        let Some(text) = text
            .ok()
            .filter(|_| frame.tag == b'E' && *upstream != self.caller_name)
        else {
            return frame;
        };
        let upstream_text = format!("prepared statement \"{upstream}\"");
        let caller_text = match self.caller_name.as_str() {
            "" => "unnamed prepared statement".to_owned(),
            name => format!("prepared statement \"{name}\""),
        };
        frame::Frame {
            tag: frame.tag,
            body: text
                .replace(&upstream_text, &caller_text)
                .into_bytes()
                .into(),
        }
    }
}

/// Name of a statement on the connection; the unnamed statement stays unnamed.
fn upstream_name(name: &str, statement: &prepared::Statement) -> CompactString {
    match name {
        "" => CompactString::default(),
        _ => statement.upstream_name.clone(),
    }
}

/// Whether a frame may occur anywhere in an answer: a notice, parameter status or notification.
const fn is_asynchronous(tag: u8) -> bool {
    matches!(tag, b'N' | b'S' | b'A')
}

/// Whether a frame ends the answer to a message.
const fn ends_answer(message: &extended::Message, tag: u8) -> bool {
    match message {
        extended::Message::Parse(_) => tag == b'1',
        extended::Message::Bind(_) => tag == b'2',
        extended::Message::Close(_) => tag == b'3',
        extended::Message::Describe(_) => matches!(tag, b'T' | b'n'),
        extended::Message::Execute { .. } => matches!(tag, b'C' | b'I' | b's'),
        extended::Message::Sync => tag == b'Z',
    }
}

#[cfg(test)]
mod tests;
