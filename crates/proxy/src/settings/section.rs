//! Reads values from mappings of a document and collects their problems.

use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;

use tanager_core::{FastMap, ResultCode};

use crate::settings::tree::{Entry, Span, Tree, Value};
use crate::settings::{Problem, document_error};
use crate::{Error, Result};

/// Collects the problems of a document and remembers what must be unique.
#[derive(Debug, Default)]
pub(crate) struct Checker {
    problems: Vec<Problem>,
    /// Line of the last use of each unique value.
    seen: FastMap<(&'static str, String), u32>,
}

impl Checker {
    /// Adds a problem.
    pub(crate) fn report(&mut self, code: ResultCode, key: &str, span: Span, text: impl Display) {
        self.problems.push(Problem::new(code, key, text).at(span));
    }

    /// Reports a value that was seen before.
    pub(crate) fn unique(&mut self, kind: &'static str, key: &str, span: Span, value: &str) {
        let first = self.seen.insert((kind, value.to_owned()), span.line);
        if let Some(line) = first {
            let message = format!("{kind} {value} is already in line {line}");
            self.report(ResultCode::DocumentDuplicate, key, span, message);
        }
    }

    /// Returns the value if there are no problems, and otherwise all of them.
    pub(crate) fn finish<T>(
        self,
        value: Option<T>,
        document: &'static str,
        text: &str,
    ) -> Result<T> {
        match value {
            Some(value) if self.problems.is_empty() => Ok(value),
            _ => Err(document_error(document, text, self.problems)),
        }
    }

    /// Reads a document and returns its top section.
    pub(crate) fn read_document<T>(
        text: &str,
        document: &'static str,
        read: impl FnOnce(&Section<'_>, &mut Self) -> Option<T>,
    ) -> std::result::Result<T, Error> {
        let mut check = Self::default();
        let tree = match Tree::parse(text, document) {
            Ok(tree) => tree,
            Err(problem) => return Err(document_error(document, text, vec![problem])),
        };
        let value = check
            .section(String::new(), &tree)
            .and_then(|top| read(&top, &mut check));
        check.finish(value, document, text)
    }

    fn section<'a>(&mut self, key: String, tree: &'a Tree) -> Option<Section<'a>> {
        let Value::Map(entries) = &tree.value else {
            let shown = if key.is_empty() { "document" } else { &key };
            self.expected(shown, tree, "a mapping");
            return None;
        };
        Some(Section {
            key,
            span: tree.span,
            entries,
        })
    }

    fn expected(&mut self, key: &str, found: &Tree, expected: &str) {
        let message = format!("expected {expected}, found {}", found.value.kind());
        self.report(ResultCode::ValueMalformed, key, found.span, message);
    }
}

/// A mapping of a document.
pub(crate) struct Section<'a> {
    /// Key of the mapping, empty for the whole document.
    pub(crate) key: String,
    pub(crate) span: Span,
    entries: &'a [Entry],
}

/// A text value with its place.
#[derive(Clone, Copy)]
pub(crate) struct Text<'a> {
    pub(crate) text: &'a str,
    pub(crate) span: Span,
}

impl<'a> Section<'a> {
    /// Reports keys that are not in `known`, keys that repeat, and `required` ones that are
    /// missing.
    pub(crate) fn check_keys(&self, check: &mut Checker, required: &[&str], optional: &[&str]) {
        for (i, entry) in self.entries.iter().enumerate() {
            let key = entry.key.as_str();
            if !required.contains(&key) && !optional.contains(&key) {
                let known = [required, optional].concat().join(", ");
                let message = format!("unknown key; known keys are {known}");
                let code = ResultCode::DocumentMalformed;
                check.report(code, &self.path(key), entry.span, message);
            } else if let Some(first) = self.entries[..i].iter().find(|e| e.key == key) {
                let message = format!("key is already in line {}", first.span.line);
                let code = ResultCode::DocumentDuplicate;
                check.report(code, &self.path(key), entry.span, message);
            }
        }
        for key in required.iter().filter(|key| self.get(key).is_none()) {
            let code = ResultCode::DocumentMalformed;
            check.report(code, &self.path(key), self.span, "missing key");
        }
    }

    /// Returns the full key of an entry.
    pub(crate) fn path(&self, key: &str) -> String {
        if self.key.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.key)
        }
    }

    /// Returns where an entry's value is, or the section itself.
    pub(crate) fn span_of(&self, key: &str) -> Span {
        self.get(key).map_or(self.span, |tree| tree.span)
    }

    /// Returns a text value.
    pub(crate) fn text(&self, check: &mut Checker, key: &str) -> Option<Text<'a>> {
        let tree = self.get(key)?;
        let Value::Text(text) = &tree.value else {
            check.expected(&self.path(key), tree, "text");
            return None;
        };
        Some(Text {
            text,
            span: tree.span,
        })
    }

    /// Returns a text value converted to its type.
    pub(crate) fn parse<T>(&self, check: &mut Checker, key: &str) -> Option<T>
    where
        T: FromStr<Err: Display>,
    {
        let value = self.text(check, key)?;
        let parsed = value.text.parse();
        parsed
            .map_err(|e| {
                let code = ResultCode::ValueMalformed;
                check.report(code, &self.path(key), value.span, e);
            })
            .ok()
    }

    /// Returns an address that can be connected to.
    pub(crate) fn address(&self, check: &mut Checker, key: &str) -> Option<SocketAddr> {
        self.get(key)?.address(check, &self.path(key))
    }

    /// Returns a number within a range.
    pub(crate) fn number(
        &self,
        check: &mut Checker,
        key: &str,
        range: RangeInclusive<u64>,
    ) -> Option<u64> {
        let tree = self.get(key)?;
        let Value::Number(number) = tree.value else {
            check.expected(&self.path(key), tree, "a whole number");
            return None;
        };
        if range.contains(&number) {
            return Some(number);
        }
        let message = format!("{number} is not {} to {}", range.start(), range.end());
        check.report(
            ResultCode::ValueOutOfRange,
            &self.path(key),
            tree.span,
            message,
        );
        None
    }

    /// Returns one of the values named in `choices`.
    pub(crate) fn choice<T: Copy>(
        &self,
        check: &mut Checker,
        key: &str,
        choices: &[(&str, T)],
    ) -> Option<T> {
        let value = self.text(check, key)?;
        let found = choices.iter().find(|(name, _)| *name == value.text);
        if found.is_none() {
            let names: Vec<_> = choices.iter().map(|(name, _)| *name).collect();
            let message = format!("{:?} is not one of {}", value.text, names.join(", "));
            check.report(
                ResultCode::ValueMalformed,
                &self.path(key),
                value.span,
                message,
            );
        }
        found.map(|(_, choice)| *choice)
    }

    /// Returns a mapping.
    pub(crate) fn section(&self, check: &mut Checker, key: &str) -> Option<Section<'a>> {
        let tree = self.get(key)?;
        check.section(self.path(key), tree)
    }

    /// Returns the items of a list.
    pub(crate) fn list(&self, check: &mut Checker, key: &str) -> &'a [Tree] {
        match self.get(key) {
            None
            | Some(Tree {
                value: Value::Nothing,
                ..
            }) => &[],
            Some(Tree {
                value: Value::List(items),
                ..
            }) => items,
            Some(tree) => {
                check.expected(&self.path(key), tree, "a list");
                &[]
            }
        }
    }

    /// Returns the texts of a list converted to their type.
    pub(crate) fn parse_list<T>(&self, check: &mut Checker, key: &str) -> Vec<T>
    where
        T: FromStr<Err: Display>,
    {
        let mut values = Vec::new();
        for (i, tree) in self.list(check, key).iter().enumerate() {
            let path = format!("{}[{i}]", self.path(key));
            let Value::Text(text) = &tree.value else {
                check.expected(&path, tree, "text");
                continue;
            };
            match text.parse() {
                Ok(value) => values.push(value),
                Err(e) => check.report(ResultCode::ValueMalformed, &path, tree.span, e),
            }
        }
        values
    }

    /// Returns the mappings of a list.
    pub(crate) fn sections(&self, check: &mut Checker, key: &str) -> Vec<Section<'a>> {
        let items = self.list(check, key).iter().enumerate();
        let path = self.path(key);
        items
            .filter_map(|(i, tree)| check.section(format!("{path}[{i}]"), tree))
            .collect()
    }

    fn get(&self, key: &str) -> Option<&'a Tree> {
        let entry = self.entries.iter().find(|e| e.key == key);
        entry.map(|e| &e.value)
    }
}

impl Tree {
    /// Returns an address that can be connected to: with a port, and not a wildcard.
    pub(crate) fn address(&self, check: &mut Checker, key: &str) -> Option<SocketAddr> {
        let Value::Text(text) = &self.value else {
            check.expected(key, self, "an IP address and a port");
            return None;
        };
        let Ok(address) = text.parse::<SocketAddr>() else {
            let message = format!("{text:?} is not an IP address and a port");
            check.report(ResultCode::ValueMalformed, key, self.span, message);
            return None;
        };
        if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
            let message = format!("{address} cannot be connected to");
            check.report(ResultCode::ValueOutOfRange, key, self.span, message);
            return None;
        }
        Some(address)
    }
}
