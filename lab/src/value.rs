//! Types of the wire protocol with their text and binary formats.

use bytes::BufMut;
use pgwire::messages::data;
use rusqlite::types;

use crate::sqlstate;

/// Type of a parameter or column.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    Bool,
    Int2,
    Int4,
    Int8,
    Float8,
    Text,
}

const FLOAT4_OID: u32 = 700;

impl Kind {
    pub(crate) const fn oid(self) -> u32 {
        match self {
            Self::Bool => 16,
            Self::Int8 => 20,
            Self::Int2 => 21,
            Self::Int4 => 23,
            Self::Text => 25,
            Self::Float8 => 701,
        }
    }

    /// Length of the binary format in bytes; -1 if it varies.
    pub(crate) const fn size(self) -> i16 {
        match self {
            Self::Bool => 1,
            Self::Int2 => 2,
            Self::Int4 => 4,
            Self::Int8 | Self::Float8 => 8,
            Self::Text => -1,
        }
    }

    pub(crate) const fn from_oid(oid: u32) -> Self {
        match oid {
            16 => Self::Bool,
            20 => Self::Int8,
            21 => Self::Int2,
            23 => Self::Int4,
            FLOAT4_OID | 701 => Self::Float8,
            _ => Self::Text,
        }
    }

    /// Type with the name given in a cast or a column declaration.
    pub(crate) fn from_name(name: &str) -> Self {
        let lower = name.to_ascii_lowercase();
        let word = lower.split(['(', ' ']).next().unwrap_or_default();
        match word {
            "bool" | "boolean" => Self::Bool,
            "smallint" | "int2" => Self::Int2,
            "int" | "integer" | "int4" | "serial" => Self::Int4,
            "bigint" | "int8" | "bigserial" => Self::Int8,
            "real" | "float" | "float4" | "float8" | "double" | "numeric" | "decimal" => {
                Self::Float8
            }
            _ => Self::Text,
        }
    }

    /// Type of an expression without a declared type, by its value; `None` for NULL.
    pub(crate) fn of_value(value: &types::Value) -> Option<Self> {
        match value {
            types::Value::Integer(_) => Some(Self::Int8),
            types::Value::Real(_) => Some(Self::Float8),
            types::Value::Text(_) | types::Value::Blob(_) => Some(Self::Text),
            types::Value::Null => None,
        }
    }

    /// A value of the type, bound to find out the types of a statement's columns.
    pub(crate) fn sample(self) -> types::Value {
        match self {
            Self::Text => types::Value::Text(String::new()),
            Self::Float8 => types::Value::Real(0.0),
            _ => types::Value::Integer(0),
        }
    }

    /// Decodes a bound parameter.
    pub(crate) fn decode(self, bytes: &[u8], format: i16) -> Result<types::Value, sqlstate::Error> {
        let value = if format == data::FORMAT_CODE_BINARY {
            self.decode_binary(bytes)
        } else {
            std::str::from_utf8(bytes)
                .ok()
                .and_then(|text| self.decode_text(text))
        };
        value.ok_or_else(|| sqlstate::Error::new("22P02", format!("invalid {self:?} parameter")))
    }

    fn decode_binary(self, bytes: &[u8]) -> Option<types::Value> {
        let value = match (self, bytes.len()) {
            (Self::Text, _) => types::Value::Text(String::from_utf8(bytes.to_vec()).ok()?),
            (Self::Float8, 4) => {
                types::Value::Real(f32::from_be_bytes(bytes.try_into().ok()?).into())
            }
            (Self::Float8, _) => types::Value::Real(f64::from_be_bytes(bytes.try_into().ok()?)),
            (_, 1) => types::Value::Integer(bytes[0].into()),
            (_, 2) => types::Value::Integer(i16::from_be_bytes(bytes.try_into().ok()?).into()),
            (_, 4) => types::Value::Integer(i32::from_be_bytes(bytes.try_into().ok()?).into()),
            _ => types::Value::Integer(i64::from_be_bytes(bytes.try_into().ok()?)),
        };
        Some(value)
    }

    fn decode_text(self, text: &str) -> Option<types::Value> {
        match self {
            Self::Text => Some(types::Value::Text(text.to_owned())),
            Self::Float8 => text.parse().ok().map(types::Value::Real),
            Self::Bool => match text.to_ascii_lowercase().as_str() {
                "t" | "true" | "1" | "on" | "yes" => Some(types::Value::Integer(1)),
                "f" | "false" | "0" | "off" | "no" => Some(types::Value::Integer(0)),
                _ => None,
            },
            _ => text.trim().parse().ok().map(types::Value::Integer),
        }
    }

    /// Appends a value with its length to a data row.
    pub(crate) fn encode(self, value: &types::Value, format: i16, row: &mut data::DataRow) {
        let cell = if *value == types::Value::Null {
            None
        } else if format == data::FORMAT_CODE_BINARY {
            Some(self.encode_binary(value))
        } else {
            Some(self.encode_text(value).into_bytes())
        };
        row.field_count += 1;
        match cell {
            None => row.data.put_i32(-1),
            Some(bytes) => {
                let length = i32::try_from(bytes.len()).expect("the value fits the length field");
                row.data.put_i32(length);
                row.data.put_slice(&bytes);
            }
        }
    }

    #[expect(
        clippy::cast_possible_truncation,
        reason = "values fit the type of their column"
    )]
    fn encode_binary(self, value: &types::Value) -> Vec<u8> {
        let integer = match value {
            types::Value::Integer(integer) => *integer,
            types::Value::Real(real) => *real as i64,
            other => text(other).trim().parse().unwrap_or_default(),
        };
        match self {
            Self::Bool => vec![u8::from(integer != 0)],
            Self::Int2 => (integer as i16).to_be_bytes().to_vec(),
            Self::Int4 => (integer as i32).to_be_bytes().to_vec(),
            Self::Int8 => integer.to_be_bytes().to_vec(),
            Self::Float8 => text(value)
                .parse::<f64>()
                .unwrap_or_default()
                .to_be_bytes()
                .to_vec(),
            Self::Text => text(value).into_bytes(),
        }
    }

    fn encode_text(self, value: &types::Value) -> String {
        match (self, value) {
            (Self::Bool, types::Value::Integer(0)) => "f".to_owned(),
            (Self::Bool, types::Value::Integer(_)) => "t".to_owned(),
            _ => text(value),
        }
    }
}

/// Text format of a value; empty for NULL.
pub(crate) fn text(value: &types::Value) -> String {
    match value {
        types::Value::Null => String::new(),
        types::Value::Integer(integer) => integer.to_string(),
        types::Value::Real(real) => real.to_string(),
        types::Value::Text(text) => text.clone(),
        types::Value::Blob(bytes) => String::from_utf8_lossy(bytes).into_owned(),
    }
}
