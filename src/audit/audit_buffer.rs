use std::collections::BTreeMap;

use super::{AuditKind, AuditRecord};

/// A bounded buffer of records for the next flush.
#[derive(Debug, Default)]
pub(super) struct AuditBuffer {
    records: Vec<AuditRecord>,
    /// Positions in `records` of the records into which later ones are merged, by kind, subject and
    /// reason.
    merged: BTreeMap<(AuditKind, String, String), usize>,
    lost: u64,
}

impl AuditBuffer {
    /// At up to about 3 KB per record, the buffer takes at most 12 MB.
    const MAX_RECORDS: usize = 4_096;

    /// Adds a record, merges it into an earlier one, or counts it as lost if the buffer is full.
    pub(super) fn push(&mut self, mut record: AuditRecord) {
        record.truncate();
        if record.kind.is_merged() {
            let key = (record.kind, record.subject.clone(), record.reason.clone());
            if let Some(position) = self.merged.get(&key) {
                self.records[*position].merge(&record);
                return;
            }
            if self.records.len() < Self::MAX_RECORDS {
                self.merged.insert(key, self.records.len());
            }
        }
        if self.records.len() < Self::MAX_RECORDS {
            self.records.push(record);
        } else {
            self.lost += record.count;
        }
    }

    /// Takes all records, or none if they and the `waiting` records of the writer exceed the size
    /// of one buffer.
    pub(super) fn take(&mut self, waiting: usize) -> Vec<AuditRecord> {
        if waiting + self.records.len() > Self::MAX_RECORDS {
            return Vec::new();
        }
        self.merged.clear();
        std::mem::take(&mut self.records)
    }

    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns the number of records lost since the last call.
    pub(super) fn take_lost(&mut self) -> u64 {
        std::mem::take(&mut self.lost)
    }
}
