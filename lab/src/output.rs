//! Messages that an instance sends to a client.

use mangotray::frame;
use pgwire::messages;
use pgwire::messages::data;
use pgwire::messages::response;
use pgwire::messages::startup;

use crate::column;
use crate::database;
use crate::sqlstate;
use crate::value;

/// Encoded messages that are written to the socket together.
#[derive(Default)]
pub(crate) struct Output {
    buffer: bytes::BytesMut,
}

impl Output {
    pub(crate) fn take(&mut self) -> bytes::BytesMut {
        self.buffer.split()
    }

    pub(crate) fn push<M: messages::Message>(&mut self, message: &M) {
        frame::Frame::encode(message).write(&mut self.buffer);
    }

    pub(crate) fn report(&mut self, name: &str, value: &dyn ToString) {
        let status = startup::ParameterStatus::new(name.to_owned(), value.to_string());
        self.push(&status);
    }

    pub(crate) fn error(&mut self, severity: &str, error: &sqlstate::Error) {
        let fields = vec![
            (b'S', severity.to_owned()),
            (b'V', severity.to_owned()),
            (b'C', error.code.to_owned()),
            (b'M', error.message.clone()),
        ];
        self.push(&response::ErrorResponse::new(fields));
    }

    pub(crate) fn ready(&mut self, status: response::TransactionStatus) {
        self.push(&response::ReadyForQuery::new(status));
    }

    pub(crate) fn columns(&mut self, columns: &[column::Column], formats: &[i16]) {
        let field = |(index, column): (usize, &column::Column)| {
            let kind = column.kind.unwrap_or(value::Kind::Text);
            let name = column.name.clone();
            let format = format(formats, index);
            data::FieldDescription::new(name, 0, 0, kind.oid(), kind.size(), -1, format)
        };
        let fields = columns.iter().enumerate().map(field);
        self.push(&data::RowDescription::new(fields.collect()));
    }

    pub(crate) fn rows(
        &mut self,
        answer: &database::Answer,
        columns: &[column::Column],
        formats: &[i16],
    ) {
        for row in &answer.rows {
            let mut message = data::DataRow::default();
            for (index, cell) in row.iter().enumerate() {
                let column = columns.get(index).and_then(|column| column.kind);
                let kind = column.unwrap_or(value::Kind::Text);
                kind.encode(cell, format(formats, index), &mut message);
            }
            self.push(&message);
        }
    }

    /// Ends the answer to one statement; an empty tag stands for an empty query.
    pub(crate) fn complete(&mut self, tag: String) {
        if tag.is_empty() {
            self.push(&response::EmptyQueryResponse::new());
        } else {
            self.push(&response::CommandComplete::new(tag));
        }
    }
}

/// Format code of a column or parameter: text if no format is given; a single format applies
/// to all.
pub(crate) fn format(formats: &[i16], index: usize) -> i16 {
    match formats {
        [] => data::FORMAT_CODE_TEXT,
        [shared] => *shared,
        each => each.get(index).copied().unwrap_or(data::FORMAT_CODE_TEXT),
    }
}
