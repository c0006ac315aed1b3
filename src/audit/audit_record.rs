use std::fmt;

use serde::{Deserialize, Serialize};

use super::AuditKind;
use crate::telemetry::timestamp;

/// A change, or several merged changes of the same kind, subject and reason.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// Time of the change in milliseconds since the Unix epoch; the earliest one if merged.
    pub at_ms: u64,
    /// The operator or the instance that made the change.
    pub who: String,
    /// The kind of the change.
    pub kind: AuditKind,
    /// The changed object, such as an upstream or the tables.
    pub subject: String,
    /// The former state; empty if there was none.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub from: String,
    /// The new state; for merged loads and evictions, as many of the adapters as fit.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub to: String,
    /// The reason for the change.
    pub reason: String,
    /// The revision of the tables in force.
    pub revision: u64,
    /// Number of merged changes; 1 for a single change.
    pub count: u64,
}

impl AuditRecord {
    /// Maximum length of a text field, in bytes.
    const MAX_TEXT: usize = 512;

    /// Truncates the text fields to [`Self::MAX_TEXT`], so that the size of a record is bounded.
    pub(super) fn truncate(&mut self) {
        for text in [
            &mut self.who,
            &mut self.subject,
            &mut self.from,
            &mut self.to,
            &mut self.reason,
        ] {
            text.truncate(text.floor_char_boundary(Self::MAX_TEXT));
        }
    }

    /// Merges a later record of the same kind, subject and reason into this one.
    pub(super) fn merge(&mut self, other: &Self) {
        self.count += other.count;
        self.revision = self.revision.max(other.revision);
        let is_known = self.to.split(' ').any(|adapter| adapter == other.to);
        if !is_known && self.to.len() + other.to.len() < Self::MAX_TEXT {
            self.to.push(' ');
            self.to.push_str(&other.to);
        }
    }
}

impl fmt::Display for AuditRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = u32::try_from(self.at_ms % 1_000).unwrap_or(0);
        write!(
            f,
            "{} {} {} {}",
            timestamp(self.at_ms / 1_000, millis),
            self.kind.as_str(),
            self.subject,
            self.who
        )?;
        if !self.from.is_empty() || !self.to.is_empty() {
            write!(f, " [{}] -> [{}]", self.from, self.to)?;
        }
        if self.count > 1 {
            write!(f, " x{}", self.count)?;
        }
        write!(f, " revision {}: {}", self.revision, self.reason)
    }
}
