use serde::Deserialize;
use serde::de::IntoDeserializer;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::RowPlaces;
use crate::error::{InputFault, InputPlace};

/// Reads the rows of one TOML file one by one, so that a fault in a row does not hide the next.
#[derive(Debug)]
pub(super) struct RowReader<'a> {
    path: &'a str,
    text: &'a str,
    pub(super) lines: RowPlaces,
    pub(super) faults: Vec<InputFault>,
}

impl<'a> RowReader<'a> {
    pub(super) fn new(path: &'a str, text: &'a str) -> Self {
        Self {
            path,
            text,
            lines: RowPlaces::default(),
            faults: Vec::new(),
        }
    }

    /// Parses the syntax of the file; what could be read is returned despite faults.
    pub(super) fn parse(&mut self) -> DeTable<'a> {
        let (table, errors) = DeTable::parse_recoverable(self.text);
        for error in errors {
            let offset = error.span().map_or(0, |span| span.start);
            self.fault(offset, "syntax", error.message(), "correct the TOML syntax");
        }
        table.into_inner()
    }

    /// Takes the rows below `key` out of `table`.
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
            self.fault(
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
                _ => self.fault(
                    offset,
                    key,
                    "a row is not a table",
                    &format!("write each row below its own [[{key}]]"),
                ),
            }
        }
        rows
    }

    /// Takes a list of values out of `table`.
    pub(super) fn take_list(&mut self, table: &mut DeTable<'a>, key: &str) -> Vec<(usize, String)> {
        let Some(value) = table.remove(key) else {
            return Vec::new();
        };
        let offset = value.span().start;
        let DeValue::Array(items) = value.into_inner() else {
            self.fault(
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
                _ => self.fault(offset, key, "an item is not text", "write [\"a\", \"b\"]"),
            }
        }
        texts
    }

    /// Types a row.
    pub(super) fn read<T: Deserialize<'a>>(
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
                self.lines.insert(name, place);
                Some(row)
            }
            Err(error) => {
                let offset = error.span().map_or(offset, |span| span.start);
                self.fault(offset, &name, error.message(), "correct the key");
                None
            }
        }
    }

    /// Reports keys that no row reader took.
    pub(super) fn refuse_rest(&mut self, table: &DeTable<'a>, expected: &str) {
        for key in table.keys() {
            self.fault(
                key.span().start,
                key.get_ref(),
                "the key is not known",
                &format!("use {expected}"),
            );
        }
    }

    pub(super) fn fault(&mut self, offset: usize, subject: &str, problem: &str, remedy: &str) {
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
