use std::collections::BTreeMap;

use super::{AuditKind, AuditRecord};

/// Records that wait for the next flush, in bounded memory.
#[derive(Debug, Default)]
pub(super) struct AuditBuffer {
    records: Vec<AuditRecord>,
    merged: BTreeMap<(AuditKind, String, String), usize>,
    lost: u64,
}

impl AuditBuffer {
    /// With records of at most about 3 KB, the buffer takes at most 12 MB.
    const MAX_RECORDS: usize = 4_096;

    /// Adds a record, joins it with an earlier one, or counts it as lost if the buffer is full.
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

    /// Takes the records if they and the records that wait elsewhere make at most one full buffer.
    pub(super) fn take(&mut self, waiting: usize) -> Vec<AuditRecord> {
        if waiting + self.records.len() > Self::MAX_RECORDS {
            return Vec::new();
        }
        self.merged.clear();
        std::mem::take(&mut self.records)
    }

    /// Returns the number of records.
    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    /// Takes the number of lost records.
    pub(super) fn take_lost(&mut self) -> u64 {
        std::mem::take(&mut self.lost)
    }
}
