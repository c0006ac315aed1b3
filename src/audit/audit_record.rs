use std::fmt;

use serde::{Deserialize, Serialize};

use super::AuditKind;
use crate::telemetry::timestamp;

/// One change, or several of the same kind that were joined.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// When it happened, in milliseconds since the Unix epoch; the first time if joined.
    pub at_ms: u64,
    /// The operator or the instance.
    pub who: String,
    /// What happened.
    pub kind: AuditKind,
    /// What it happened to, such as an upstream or the tables.
    pub subject: String,
    /// The state before; empty if there was none.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub from: String,
    /// The state after; for joined loads and evictions, some of the adapters.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub to: String,
    /// Why it happened.
    pub reason: String,
    /// The revision of the tables in force.
    pub revision: u64,
    /// How many changes were joined.
    pub count: u64,
}

impl AuditRecord {
    /// The longest text that a field keeps, in bytes.
    const MAX_TEXT: usize = 512;

    /// Shortens overlong texts, so that a record has a bounded size.
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

    /// Adds a later record with the same kind, subject and reason.
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
