//! A YAML document with the place of each value.

use std::fmt;

use serde::Deserialize;
use serde::de::{Deserializer, MapAccess, SeqAccess, Visitor};
use serde_saphyr::{DuplicateKeyPolicy, Location, Spanned};
use tanager_core::ResultCode;

use crate::settings::Problem;

/// Where something is in a document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Span {
    /// Line, from 1.
    pub line: u32,
    /// First byte.
    pub start: u32,
    /// Length in bytes.
    pub length: u32,
}

/// A YAML document with the place of every value, so that all problems can be reported at once.
#[derive(Debug)]
pub(crate) struct Tree {
    pub(crate) span: Span,
    pub(crate) value: Value,
}

/// A value of a document.
#[derive(Debug)]
pub(crate) enum Value {
    Text(String),
    Number(u64),
    List(Vec<Tree>),
    /// Entries in order of the document; keys may repeat.
    Map(Vec<Entry>),
    /// No value after the key; it stands for an empty list.
    Nothing,
    /// A value of a kind that no document has, such as a fraction, and its kind.
    Other(&'static str),
}

/// An entry of a mapping.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) key: String,
    pub(crate) span: Span,
    pub(crate) value: Tree,
}

impl Tree {
    /// Reads a YAML document. Aliases and nesting are bounded by the parser's budget.
    pub(crate) fn parse(text: &str, document: &str) -> Result<Self, Problem> {
        let options = serde_saphyr::options! { duplicate_keys: DuplicateKeyPolicy::PassThrough };
        serde_saphyr::from_str_with_options(text, options).map_err(|error| {
            let span = error.location().map(Span::from).unwrap_or_default();
            // The first line has the cause; further ones repeat the source.
            let message = error.to_string();
            let message = message.lines().next().unwrap_or_default();
            Problem::new(ResultCode::DocumentMalformed, document, message).at(span)
        })
    }
}

impl Value {
    /// Returns what kind of value this is, for messages.
    pub(crate) const fn kind(&self) -> &'static str {
        match self {
            Self::Text(_) => "text",
            Self::Number(_) => "a number",
            Self::List(_) => "a list",
            Self::Map(_) => "a mapping",
            Self::Nothing => "nothing",
            Self::Other(kind) => kind,
        }
    }
}

impl From<Location> for Span {
    fn from(location: Location) -> Self {
        let narrow = |n: Option<u64>| n.and_then(|n| u32::try_from(n).ok()).unwrap_or(0);
        Self {
            line: narrow(Some(location.line())),
            start: narrow(location.span().byte_offset()),
            length: narrow(location.span().byte_len()),
        }
    }
}

impl<'de> Deserialize<'de> for Tree {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let spanned = Spanned::<Value>::deserialize(deserializer)?;
        Ok(Self {
            span: spanned.referenced.into(),
            value: spanned.value,
        })
    }
}

impl<'de> Deserialize<'de> for Value {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ValueVisitor)
    }
}

struct ValueVisitor;

impl<'de> Visitor<'de> for ValueVisitor {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("any value")
    }

    fn visit_str<E>(self, text: &str) -> Result<Value, E> {
        Ok(Value::Text(text.to_owned()))
    }

    fn visit_string<E>(self, text: String) -> Result<Value, E> {
        Ok(Value::Text(text))
    }

    fn visit_u64<E>(self, number: u64) -> Result<Value, E> {
        Ok(Value::Number(number))
    }

    fn visit_i64<E>(self, number: i64) -> Result<Value, E> {
        let number = u64::try_from(number).map(Value::Number);
        Ok(number.unwrap_or(Value::Other("a negative number")))
    }

    fn visit_i128<E>(self, _: i128) -> Result<Value, E> {
        Ok(Value::Other("a number out of range"))
    }

    fn visit_u128<E>(self, _: u128) -> Result<Value, E> {
        Ok(Value::Other("a number out of range"))
    }

    fn visit_f64<E>(self, _: f64) -> Result<Value, E> {
        Ok(Value::Other("a fraction"))
    }

    fn visit_bool<E>(self, _: bool) -> Result<Value, E> {
        Ok(Value::Other("a truth value"))
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Nothing)
    }

    fn visit_none<E>(self) -> Result<Value, E> {
        Ok(Value::Nothing)
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<Value, D::Error> {
        Value::deserialize(deserializer)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Value, A::Error> {
        let mut list = Vec::new();
        while let Some(item) = items.next_element()? {
            list.push(item);
        }
        Ok(Value::List(list))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<Value, A::Error> {
        let mut map = Vec::new();
        while let Some((key, value)) = entries.next_entry::<Spanned<String>, Tree>()? {
            map.push(Entry {
                span: key.referenced.into(),
                key: key.value,
                value,
            });
        }
        Ok(Value::Map(map))
    }
}
