use std::collections::BTreeSet;
use std::fmt;

use serde::Serialize;
use serde_json::{Map, Value};

use super::DifferenceLine;
use crate::error::Result;
use crate::table::{TableRows, TableSet};

/// The differences between two table sets, as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Default)]
#[serde(transparent)]
pub struct TableDifference {
    lines: Vec<DifferenceLine>,
}

impl TableDifference {
    /// Compares two sets, ignoring the author, time and id of their edits.
    ///
    /// # Errors
    ///
    /// Fails if a row cannot be serialized to JSON, which does not happen for a checked row.
    pub fn between(first: &TableSet, second: &TableSet) -> Result<Self> {
        let (first, second) = (TableRows::from_set(first)?, TableRows::from_set(second)?);
        let keys: BTreeSet<&String> = first
            .as_map()
            .keys()
            .chain(second.as_map().keys())
            .filter(|key| *key != "set")
            .collect();
        let mut difference = Self::default();
        for key in keys {
            match (first.as_map().get(key), second.as_map().get(key)) {
                (Some(from), Some(to)) if from != to => difference.compare(key, from, to),
                (Some(from), None) => difference.lines.push(DifferenceLine::Removed {
                    row: key.clone(),
                    value: content(from).to_string(),
                }),
                (None, Some(to)) => difference.lines.push(DifferenceLine::Added {
                    row: key.clone(),
                    value: content(to).to_string(),
                }),
                _ => {}
            }
        }
        Ok(difference)
    }

    /// Borrows the differences, ordered by row key.
    #[must_use]
    pub fn lines(&self) -> &[DifferenceLine] {
        &self.lines
    }

    /// Returns whether the sets have the same content.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    fn compare(&mut self, row: &str, from: &str, to: &str) {
        let (from, to) = (parse_row(from), parse_row(to));
        let (old, new) = (object_field(&from, "row"), object_field(&to, "row"));
        let parent = |chained: &Value| chained.get("parent").cloned();
        if parent(&from) != parent(&to) {
            self.add_change(row, "pool", parent(&from).as_ref(), parent(&to).as_ref());
        }
        for key in old.keys().chain(new.keys()).collect::<BTreeSet<_>>() {
            if old.get(key) != new.get(key) {
                self.add_change(row, key, old.get(key), new.get(key));
            }
        }
        if from.get("after") != to.get("after") {
            let after = to.get("after").and_then(Value::as_str).unwrap_or("first");
            self.lines.push(DifferenceLine::Moved {
                row: row.to_owned(),
                after: after.to_owned(),
            });
        }
    }

    fn add_change(&mut self, row: &str, key: &str, from: Option<&Value>, to: Option<&Value>) {
        let text = |value: Option<&Value>| value.map_or("unset".to_owned(), Value::to_string);
        self.lines.push(DifferenceLine::Changed {
            row: row.to_owned(),
            key: key.to_owned(),
            from: text(from),
            to: text(to),
        });
    }
}

impl fmt::Display for TableDifference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, line) in self.lines.iter().enumerate() {
            if position > 0 {
                writeln!(f)?;
            }
            write!(f, "{line}")?;
        }
        Ok(())
    }
}

/// Parses a row that this process serialized; parsing therefore does not fail.
fn parse_row(row: &str) -> Value {
    serde_json::from_str(row).unwrap_or_default()
}

fn content(row: &str) -> Value {
    parse_row(row).get("row").cloned().unwrap_or_default()
}

fn object_field(chained: &Value, key: &str) -> Map<String, Value> {
    chained
        .get(key)
        .and_then(Value::as_object)
        .cloned()
        .unwrap_or_default()
}
