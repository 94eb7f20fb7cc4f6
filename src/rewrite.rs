//! A batch of the extended protocol, made self-contained, and its answer made whole again.

use std::collections;
use std::sync;

use compact_str::CompactString;

use crate::extended;
use crate::frame;
use crate::prepared;

/// Name that no statement on an upstream connection ever has. Messages that refer to
/// a statement the caller never prepared are sent with it, so that the database itself
/// answers the error, at its place and with its effect on the transaction. Left as
/// they are they could meet a statement that another session has left behind.
const NOWHERE: &str = "mangotray_none";

/// One message that is sent on.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Step {
    message: extended::Message,
    /// Not sent by the caller, who must not see its answer.
    hidden: bool,
    effect: Option<prepared::Effect>,
    /// The caller's name for the statement, for the text of errors.
    name: CompactString,
}

/// A batch on its way to an upstream.
#[derive(Debug, Default)]
pub struct Rewrite {
    steps: Vec<Step>,
}

/// Rewrites a batch message by message.
#[derive(Debug)]
pub(crate) struct Builder<'a> {
    statements: &'a prepared::Statements,
    rewrite: Rewrite,
    /// Caller's names defined or dropped within the batch.
    names: collections::HashMap<CompactString, Option<sync::Arc<prepared::Statement>>>,
    /// Statements that are prepared on the connection at this place of the batch.
    present: collections::BTreeMap<CompactString, sync::Arc<prepared::Statement>>,
    /// Portals that may outlive the batch, and must not go with their statements.
    keeps_portals: bool,
}

/// What is left for the caller of an upstream's answer.
#[derive(Debug, PartialEq, Eq)]
pub struct Relay {
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
            names: collections::HashMap::new(),
            present: collections::BTreeMap::new(),
            keeps_portals: false,
        }
    }

    pub(crate) fn finish(self) -> Rewrite {
        self.rewrite
    }

    /// Appends a message of the caller and whatever has to go before it.
    pub(crate) fn push(
        &mut self,
        message: &extended::Message,
        reference: Option<&sync::Arc<prepared::Statement>>,
    ) {
        match (message, reference) {
            (extended::Message::Parse(parse), Some(statement)) => self.parse(parse, statement),
            (extended::Message::Bind(bind), _) => {
                self.keeps_portals |= !bind.portal.is_empty();
                let statement = self.refer(&bind.statement, reference);
                let rewritten = extended::Bind {
                    statement,
                    ..bind.clone()
                };
                self.visible(extended::Message::Bind(rewritten), None, &bind.statement);
            }
            (extended::Message::Describe(extended::Target::Statement(name)), _) => {
                let target = extended::Target::Statement(self.refer(name, reference));
                self.visible(extended::Message::Describe(target), None, name);
            }
            (extended::Message::Close(extended::Target::Statement(name)), _) => {
                self.close(name, message);
            }
            (extended::Message::Sync, _) => self.end(),
            (extended::Message::Execute { max_rows, .. }, _) => {
                self.keeps_portals |= *max_rows > 0;
                self.visible(message.clone(), None, "");
            }
            _ => self.visible(message.clone(), None, ""),
        }
    }

    fn visible(
        &mut self,
        message: extended::Message,
        effect: Option<prepared::Effect>,
        name: &str,
    ) {
        self.rewrite.steps.push(Step {
            message,
            hidden: false,
            effect,
            name: name.into(),
        });
    }

    fn hidden(&mut self, message: extended::Message) {
        self.rewrite.steps.push(Step {
            message,
            hidden: true,
            effect: None,
            name: CompactString::default(),
        });
    }

    fn known(&self, name: &str) -> Option<sync::Arc<prepared::Statement>> {
        self.names
            .get(name)
            .cloned()
            .unwrap_or_else(|| self.statements.get(name).cloned())
    }

    fn parse(&mut self, parse: &extended::Parse, statement: &sync::Arc<prepared::Statement>) {
        let effect = Some(prepared::Effect::Store(
            parse.name.clone(),
            statement.clone(),
        ));
        let taken = self.known(&parse.name).filter(|_| !parse.name.is_empty());
        let upstream = match &taken {
            // The name is taken; the database is led to say so itself.
            Some(old) => self.refer(&parse.name, Some(old)),
            None => alias(&parse.name, statement),
        };
        if taken.is_none() {
            self.drop_present(&upstream, &parse.name);
            self.names
                .insert(parse.name.clone(), Some(statement.clone()));
            self.present.insert(upstream.clone(), statement.clone());
        }
        let rewritten = extended::Parse {
            name: upstream,
            ..parse.clone()
        };
        self.visible(extended::Message::Parse(rewritten), effect, &parse.name);
    }

    /// A connection may still hold a statement of that name from an earlier batch.
    fn drop_present(&mut self, upstream: &CompactString, name: &str) {
        if !name.is_empty() {
            let target = extended::Target::Statement(upstream.clone());
            self.hidden(extended::Message::Close(target));
        }
    }

    /// Makes sure that a statement is prepared and gives its name on the connection.
    fn refer(
        &mut self,
        name: &CompactString,
        reference: Option<&sync::Arc<prepared::Statement>>,
    ) -> CompactString {
        let Some(statement) = reference else {
            return NOWHERE.into();
        };
        let upstream = alias(name, statement);
        if self.present.get(&upstream) != Some(statement) {
            self.drop_present(&upstream, name);
            self.hidden(extended::Message::Parse(extended::Parse {
                name: upstream.clone(),
                query: statement.query.clone(),
                parameter_types: statement.types.clone(),
            }));
            self.present.insert(upstream.clone(), statement.clone());
        }
        upstream
    }

    fn close(&mut self, name: &CompactString, message: &extended::Message) {
        let upstream = match self.known(name) {
            Some(_) if name.is_empty() => CompactString::default(),
            Some(statement) => statement.upstream.clone(),
            None => NOWHERE.into(),
        };
        self.present.remove(&upstream);
        self.names.insert(name.clone(), None);
        let target = extended::Target::Statement(upstream);
        let effect = prepared::effect(message, None);
        self.visible(extended::Message::Close(target), effect, name);
    }

    /// Leaves no statement behind: over the days a pooled connection would collect
    /// those of all callers.
    fn end(&mut self) {
        let present = std::mem::take(&mut self.present);
        let named = present.into_keys().filter(|name| !name.is_empty());
        if !self.keeps_portals {
            for name in named {
                self.hidden(extended::Message::Close(extended::Target::Statement(name)));
            }
        }
        self.visible(extended::Message::Sync, None, "");
    }
}

impl Rewrite {
    /// The frames to send on.
    #[must_use]
    pub fn frames(&self) -> Vec<frame::Frame> {
        self.steps
            .iter()
            .map(|step| step.message.encode())
            .collect()
    }

    /// Removes the answers that the caller did not ask for. After an error the database
    /// skips to the Sync, so all that follows the error belongs to it.
    #[must_use]
    pub fn relay(&self, frames: Vec<frame::Frame>) -> Relay {
        let mut steps = self.steps.iter().peekable();
        let mut relay = Relay {
            frames: Vec::with_capacity(frames.len()),
            effects: Vec::new(),
        };
        let mut failed = false;
        for frame in frames {
            failed |= frame.tag == b'E';
            let Some(step) = steps.peek().copied() else {
                relay.frames.push(frame);
                continue;
            };
            if failed || asynchronous(frame.tag) {
                relay.frames.push(step.restore(frame));
                continue;
            }
            if ends(&step.message, frame.tag) {
                steps.next();
                relay.effects.extend(step.effect.clone());
            }
            if !step.hidden {
                relay.frames.push(frame);
            }
        }
        relay
    }
}

impl Step {
    /// Puts the caller's name into an error.
    fn restore(&self, frame: frame::Frame) -> frame::Frame {
        let upstream = match &self.message {
            extended::Message::Parse(parse) => &parse.name,
            extended::Message::Bind(bind) => &bind.statement,
            extended::Message::Describe(extended::Target::Statement(name)) => name,
            _ => return frame,
        };
        let text = std::str::from_utf8(&frame.body);
        let Some(text) = text
            .ok()
            .filter(|_| frame.tag == b'E' && *upstream != self.name)
        else {
            return frame;
        };
        let told = format!("prepared statement \"{upstream}\"");
        let meant = match self.name.as_str() {
            "" => "unnamed prepared statement".to_owned(),
            name => format!("prepared statement \"{name}\""),
        };
        frame::Frame {
            tag: frame.tag,
            body: text.replace(&told, &meant).into_bytes().into(),
        }
    }
}

/// Name of a statement on the connection; the unnamed one keeps its name.
fn alias(name: &str, statement: &prepared::Statement) -> CompactString {
    match name {
        "" => CompactString::default(),
        _ => statement.upstream.clone(),
    }
}

/// Frames that may come at any place of an answer.
const fn asynchronous(tag: u8) -> bool {
    matches!(tag, b'N' | b'S' | b'A')
}

/// Whether a frame is the last of the answer to a message.
const fn ends(message: &extended::Message, tag: u8) -> bool {
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
