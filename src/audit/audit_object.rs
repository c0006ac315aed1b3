use serde::{Deserialize, Serialize};

use super::AuditRecord;

/// The content of an audit object in the object store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditObject {
    /// Hours since the Unix epoch, which distinguishes objects of different hours in the same slot.
    pub hour: u64,
    /// Random id of the process that wrote the object last.
    pub writer: u64,
    /// Sequence number of the write within that process.
    pub sequence: u64,
    /// Number of records that the process has lost since its start.
    pub lost: u64,
    /// The records, oldest first.
    pub records: Vec<AuditRecord>,
}

impl AuditObject {
    /// Hours for which records are kept; also the number of slots.
    pub const RETENTION_HOURS: u64 = 72;

    /// Maximum size of an object, in bytes.
    pub const MAX_BYTES: usize = 256 << 10;

    /// Maximum number of objects per instance and hour; records that exceed them are lost.
    pub const MAX_PARTS: u32 = 8;

    /// Returns the key of the object with number `part`, which counts from zero.
    #[must_use]
    pub fn key(hour: u64, instance: &str, part: u32) -> String {
        format!("{}{instance}/{part}", Self::prefix(hour))
    }

    /// Returns the common prefix of the keys of an hour.
    #[must_use]
    pub fn prefix(hour: u64) -> String {
        format!("audit/{:02}/", hour % Self::RETENTION_HOURS)
    }
}
