//! Reads values from the mappings of a document and collects their problems.

use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;

use tanager_core::{FastMap, ResultCode};

use crate::settings::tree::{Entry, Span, Tree, Value};
use crate::settings::{Problem, document_error};
use crate::{Error, Result};

/// Collects the problems of a document and records the values that must be unique.
#[derive(Debug, Default)]
pub(crate) struct Checker {
    problems: Vec<Problem>,
    /// Line of the last use of each value that must be unique.
    seen: FastMap<(&'static str, String), u32>,
}

impl Checker {
    /// Adds a problem.
    pub(crate) fn report(&mut self, code: ResultCode, key: &str, span: Span, text: impl Display) {
        self.problems
            .push(Problem::new(code, key, text).with_span(span));
    }

    /// Reports a value that repeats an earlier one of the same kind.
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

    /// Parses a document and converts its top section with `read`. Returns the converted value, or
    /// all problems.
    pub(crate) fn read_document<T>(
        text: &str,
        document: &'static str,
        read: impl FnOnce(&Section<'_>, &mut Self) -> Option<T>,
    ) -> std::result::Result<T, Error> {
        let mut checker = Self::default();
        let tree = match Tree::parse(text, document) {
            Ok(tree) => tree,
            Err(problem) => return Err(document_error(document, text, vec![problem])),
        };
        let value = checker
            .section(String::new(), &tree)
            .and_then(|top| read(&top, &mut checker));
        checker.finish(value, document, text)
    }

    fn section<'a>(&mut self, key: String, tree: &'a Tree) -> Option<Section<'a>> {
        let Value::Map(entries) = &tree.value else {
            let name = if key.is_empty() { "document" } else { &key };
            self.expected(name, tree, "a mapping");
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
    /// Full key of the mapping; empty for the document itself.
    pub(crate) key: String,
    pub(crate) span: Span,
    entries: &'a [Entry],
}

/// A text value with its span.
#[derive(Clone, Copy)]
pub(crate) struct Text<'a> {
    pub(crate) text: &'a str,
    pub(crate) span: Span,
}

impl<'a> Section<'a> {
    /// Reports unknown keys, repeated keys, and `required` keys that are missing.
    pub(crate) fn check_keys(&self, checker: &mut Checker, required: &[&str], optional: &[&str]) {
        for (i, entry) in self.entries.iter().enumerate() {
            let key = entry.key.as_str();
            if !required.contains(&key) && !optional.contains(&key) {
                let known = [required, optional].concat().join(", ");
                let message = format!("unknown key; known keys are {known}");
                let code = ResultCode::DocumentMalformed;
                checker.report(code, &self.path(key), entry.span, message);
            } else if let Some(first) = self.entries[..i].iter().find(|e| e.key == key) {
                let message = format!("key is already in line {}", first.span.line);
                let code = ResultCode::DocumentDuplicate;
                checker.report(code, &self.path(key), entry.span, message);
            }
        }
        for key in required.iter().filter(|key| self.get(key).is_none()) {
            let code = ResultCode::DocumentMalformed;
            checker.report(code, &self.path(key), self.span, "missing key");
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

    /// Returns the span of an entry's value, or that of the section if it has no such entry.
    pub(crate) fn span_of(&self, key: &str) -> Span {
        self.get(key).map_or(self.span, |tree| tree.span)
    }

    /// Returns a text value.
    pub(crate) fn text(&self, checker: &mut Checker, key: &str) -> Option<Text<'a>> {
        let tree = self.get(key)?;
        let Value::Text(text) = &tree.value else {
            checker.expected(&self.path(key), tree, "text");
            return None;
        };
        Some(Text {
            text,
            span: tree.span,
        })
    }

    /// Returns a text value converted to its type.
    pub(crate) fn parse<T>(&self, checker: &mut Checker, key: &str) -> Option<T>
    where
        T: FromStr<Err: Display>,
    {
        let value = self.text(checker, key)?;
        let parsed = value.text.parse();
        parsed
            .map_err(|e| {
                let code = ResultCode::ValueMalformed;
                checker.report(code, &self.path(key), value.span, e);
            })
            .ok()
    }

    /// Returns an address that can be connected to.
    pub(crate) fn address(&self, checker: &mut Checker, key: &str) -> Option<SocketAddr> {
        self.get(key)?.address(checker, &self.path(key))
    }

    /// Returns an integer within a range.
    pub(crate) fn number(
        &self,
        checker: &mut Checker,
        key: &str,
        range: RangeInclusive<u64>,
    ) -> Option<u64> {
        let tree = self.get(key)?;
        let Value::Number(number) = tree.value else {
            checker.expected(&self.path(key), tree, "an integer");
            return None;
        };
        if range.contains(&number) {
            return Some(number);
        }
        let message = format!(
            "{number} is outside the range {} to {}",
            range.start(),
            range.end()
        );
        checker.report(
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
        checker: &mut Checker,
        key: &str,
        choices: &[(&str, T)],
    ) -> Option<T> {
        let value = self.text(checker, key)?;
        let found = choices.iter().find(|(name, _)| *name == value.text);
        if found.is_none() {
            let names: Vec<_> = choices.iter().map(|(name, _)| *name).collect();
            let message = format!("{:?} is not one of {}", value.text, names.join(", "));
            checker.report(
                ResultCode::ValueMalformed,
                &self.path(key),
                value.span,
                message,
            );
        }
        found.map(|(_, choice)| *choice)
    }

    /// Returns a mapping.
    pub(crate) fn section(&self, checker: &mut Checker, key: &str) -> Option<Section<'a>> {
        let tree = self.get(key)?;
        checker.section(self.path(key), tree)
    }

    /// Returns the items of a list.
    pub(crate) fn list(&self, checker: &mut Checker, key: &str) -> &'a [Tree] {
        match self.get(key) {
            None
            | Some(Tree {
                value: Value::Null, ..
            }) => &[],
            Some(Tree {
                value: Value::List(items),
                ..
            }) => items,
            Some(tree) => {
                checker.expected(&self.path(key), tree, "a list");
                &[]
            }
        }
    }

    /// Returns the texts of a list converted to their type.
    pub(crate) fn parse_list<T>(&self, checker: &mut Checker, key: &str) -> Vec<T>
    where
        T: FromStr<Err: Display>,
    {
        let mut values = Vec::new();
        for (i, tree) in self.list(checker, key).iter().enumerate() {
            let path = format!("{}[{i}]", self.path(key));
            let Value::Text(text) = &tree.value else {
                checker.expected(&path, tree, "text");
                continue;
            };
            match text.parse() {
                Ok(value) => values.push(value),
                Err(e) => checker.report(ResultCode::ValueMalformed, &path, tree.span, e),
            }
        }
        values
    }

    /// Returns the mappings of a list.
    pub(crate) fn sections(&self, checker: &mut Checker, key: &str) -> Vec<Section<'a>> {
        let items = self.list(checker, key).iter().enumerate();
        let path = self.path(key);
        items
            .filter_map(|(i, tree)| checker.section(format!("{path}[{i}]"), tree))
            .collect()
    }

    pub(crate) fn get(&self, key: &str) -> Option<&'a Tree> {
        let entry = self.entries.iter().find(|e| e.key == key);
        entry.map(|e| &e.value)
    }
}

impl Tree {
    /// Returns an address that can be connected to: with a port, and not a wildcard.
    pub(crate) fn address(&self, checker: &mut Checker, key: &str) -> Option<SocketAddr> {
        let Value::Text(text) = &self.value else {
            checker.expected(key, self, "an IP address and a port");
            return None;
        };
        let Ok(address) = text.parse::<SocketAddr>() else {
            let message = format!("{text:?} is not an IP address and a port");
            checker.report(ResultCode::ValueMalformed, key, self.span, message);
            return None;
        };
        if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
            let message = format!("{address} cannot be connected to");
            checker.report(ResultCode::ValueOutOfRange, key, self.span, message);
            return None;
        }
        Some(address)
    }
}
