use serde::Deserialize;
use serde::de::IntoDeserializer;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::RowPlaces;
use crate::error::{InputFault, InputPlace};

/// Parses the rows of a TOML file separately, so that all faulty rows are reported at once.
#[derive(Debug)]
pub(super) struct RowReader<'a> {
    path: &'a str,
    text: &'a str,
    pub(super) places: RowPlaces,
    pub(super) faults: Vec<InputFault>,
}

impl<'a> RowReader<'a> {
    pub(super) fn new(path: &'a str, text: &'a str) -> Self {
        Self {
            path,
            text,
            places: RowPlaces::default(),
            faults: Vec::new(),
        }
    }

    /// Parses the TOML syntax; after a syntax error, the recoverable part of the file is returned.
    pub(super) fn parse_syntax(&mut self) -> DeTable<'a> {
        let (table, errors) = DeTable::parse_recoverable(self.text);
        for error in errors {
            let offset = error.span().map_or(0, |span| span.start);
            self.add_fault(offset, "syntax", error.message(), "correct the TOML syntax");
        }
        table.into_inner()
    }

    /// Removes the rows below `key` from `table` and returns them with their byte offsets.
    pub(super) fn take_rows(
        &mut self,
        table: &mut DeTable<'a>,
        key: &str,
    ) -> Vec<(usize, DeTable<'a>)> {
        let Some(value) = table.remove(key) else {
            return Vec::new();
        };
        let offset = value.span().start;
        let DeValue::Array(items) = value.into_inner() else {
            self.add_fault(
                offset,
                key,
                "the rows are not a list",
                &format!("write each row below its own [[{key}]]"),
            );
            return Vec::new();
        };
        let mut rows = Vec::new();
        for item in items {
            let offset = item.span().start;
            match item.into_inner() {
                DeValue::Table(row) => rows.push((offset, row)),
                _ => self.add_fault(
                    offset,
                    key,
                    "a row is not a table",
                    &format!("write each row below its own [[{key}]]"),
                ),
            }
        }
        rows
    }

    /// Removes the list of strings at `key` from `table` and returns its items with their byte
    /// offsets.
    pub(super) fn take_list(&mut self, table: &mut DeTable<'a>, key: &str) -> Vec<(usize, String)> {
        let Some(value) = table.remove(key) else {
            return Vec::new();
        };
        let offset = value.span().start;
        let DeValue::Array(items) = value.into_inner() else {
            self.add_fault(
                offset,
                key,
                "the value is not a list",
                "write [\"a\", \"b\"]",
            );
            return Vec::new();
        };
        let mut texts = Vec::new();
        for item in items {
            let offset = item.span().start;
            match item.into_inner() {
                DeValue::String(text) => texts.push((offset, text.into_owned())),
                _ => self.add_fault(
                    offset,
                    key,
                    "an item is not a string",
                    "write [\"a\", \"b\"]",
                ),
            }
        }
        texts
    }

    /// Deserializes a row and records its place, or records a fault.
    pub(super) fn parse_row<T: Deserialize<'a>>(
        &mut self,
        offset: usize,
        kind: &str,
        row: DeTable<'a>,
    ) -> Option<T> {
        let name = row
            .get("name")
            .and_then(|name| name.get_ref().as_str())
            .map_or_else(|| kind.to_owned(), |name| format!("{kind}.{name}"));
        let place = self.place(offset);
        let spanned = Spanned::new(offset..offset, DeValue::Table(row));
        match T::deserialize(spanned.into_deserializer()) {
            Ok(row) => {
                self.places.insert(name, place);
                Some(row)
            }
            Err(error) => {
                let offset = error.span().map_or(offset, |span| span.start);
                self.add_fault(offset, &name, error.message(), "correct the key");
                None
            }
        }
    }

    /// Records a fault for each key that remains in `table`.
    pub(super) fn reject_unknown_keys(&mut self, table: &DeTable<'a>, expected: &str) {
        for key in table.keys() {
            self.add_fault(
                key.span().start,
                key.get_ref(),
                "unknown key",
                &format!("use {expected}"),
            );
        }
    }

    pub(super) fn add_fault(&mut self, offset: usize, subject: &str, problem: &str, remedy: &str) {
        self.faults.push(InputFault {
            place: self.place(offset),
            subject: subject.to_owned(),
            problem: problem.to_owned(),
            remedy: remedy.to_owned(),
        });
    }

    fn place(&self, offset: usize) -> InputPlace {
        let before = self.text.as_bytes().get(..offset).unwrap_or_default();
        InputPlace::Line {
            file: self.path.to_owned(),
            line: before.split(|byte| *byte == b'\n').count(),
        }
    }
}
