use serde::{Deserialize, Serialize};

use super::AuditRecord;

/// The value of an audit object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditObject {
    /// Hours since the Unix epoch; an object of an earlier round of the slots has another one.
    pub hour: u64,
    /// The process that wrote it last; a random number.
    pub writer: u64,
    /// The number of the write within that process.
    pub sequence: u64,
    /// Records that the process has lost since its start.
    pub lost: u64,
    /// The records, the oldest first.
    pub records: Vec<AuditRecord>,
}

impl AuditObject {
    /// Hours for which records are kept.
    pub const RETENTION_HOURS: u64 = 72;

    /// The largest object, in bytes.
    pub const MAX_BYTES: usize = 256 << 10;

    /// Objects per instance and hour; more records than fit into them are lost.
    pub const MAX_PARTS: u32 = 8;

    /// Returns the key of an object.
    #[must_use]
    pub fn key(hour: u64, instance: &str, part: u32) -> String {
        format!("{}{instance}/{part}", Self::prefix(hour))
    }

    /// Returns the common start of the keys of an hour.
    #[must_use]
    pub fn prefix(hour: u64) -> String {
        format!("audit/{:02}/", hour % Self::RETENTION_HOURS)
    }
}
