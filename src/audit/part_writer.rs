use std::collections::BTreeMap;

use super::{AuditObject, AuditRecord};
use crate::error::{Error, ErrorKind, Result};
use crate::platform_client::{ObjectStore, StoredObject, WriteOutcome};

/// Appends records to the objects of one instance, with at most one write per flush.
#[derive(Debug)]
pub(super) struct PartWriter {
    store: ObjectStore,
    instance: String,
    writer: u64,
    sequence: u64,
    lost: u64,
    hour: u64,
    part: u32,
    version: Option<u64>,
    stored: Vec<AuditRecord>,
    waiting: Vec<AuditRecord>,
    /// Writes that may still take effect: the number of pending records in each, by sequence
    /// number. Each contains the first pending records. At most one of them can be accepted, since
    /// each requires a version of the object that an accepted write replaces.
    attempts: BTreeMap<u64, usize>,
    /// Whether the last write failed or was cancelled, so that it may or may not have been accepted.
    is_outcome_unknown: bool,
}

impl PartWriter {
    pub(super) fn new(store: ObjectStore, instance: &str) -> Self {
        Self {
            store,
            instance: instance.to_owned(),
            writer: rand::random(),
            sequence: 0,
            lost: 0,
            hour: 0,
            part: 0,
            version: None,
            stored: Vec::new(),
            waiting: Vec::new(),
            attempts: BTreeMap::new(),
            is_outcome_unknown: false,
        }
    }

    /// Returns the number of pending records.
    pub(super) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Adds pending records, and `lost` to the number of lost records.
    pub(super) fn push(&mut self, records: Vec<AuditRecord>, lost: u64) {
        self.waiting.extend(records);
        self.lost += lost;
    }

    /// Writes as many pending records as fit into one object, and returns the number of records
    /// lost because all objects of the hour are full.
    pub(super) async fn flush(&mut self, hour: u64) -> Result<u64> {
        if self.is_outcome_unknown {
            let object = self.store.read(&self.key()).await?;
            self.reconcile(object.as_ref());
        }
        if self.waiting.is_empty() {
            return Ok(0);
        }
        if self.hour != hour {
            self.start_part(hour, 0);
        }
        let used: usize = self.stored.iter().map(length).sum();
        let mut fitting = self.fitting(used);
        if fitting == 0 {
            self.start_part(hour, self.part + 1);
            fitting = self.fitting(0);
        }
        if self.part >= AuditObject::MAX_PARTS {
            let lost = self.waiting.drain(..).map(|record| record.count).sum();
            self.lost += lost;
            // Do not advance further, so that the hour gets no object beyond the limit.
            self.part = AuditObject::MAX_PARTS;
            return Ok(lost);
        }
        self.write(fitting).await?;
        Ok(0)
    }

    async fn write(&mut self, count: usize) -> Result<()> {
        self.sequence += 1;
        let object = AuditObject {
            hour: self.hour,
            writer: self.writer,
            sequence: self.sequence,
            lost: self.lost,
            records: [&self.stored, &self.waiting[..count]].concat(),
        };
        let value = serde_json::to_vec(&object)
            .map_err(|error| Error::new(ErrorKind::Internal, format!("audit: {error}")))?;
        self.attempts.insert(self.sequence, count);
        self.is_outcome_unknown = true;
        match self.store.write(&self.key(), &value, self.version).await? {
            WriteOutcome::Written(version) => {
                self.is_outcome_unknown = false;
                self.attempts.clear();
                self.version = Some(version);
                self.stored = object.records;
                self.waiting.drain(..count);
            }
            WriteOutcome::Conflict(found) => self.reconcile(found.as_ref()),
        }
        Ok(())
    }

    /// Determines from the stored object whether a write of this writer was accepted, and continues
    /// from the content of the object.
    fn reconcile(&mut self, found: Option<&StoredObject>) {
        self.is_outcome_unknown = false;
        self.version = found.map(|object| object.version);
        self.stored.clear();
        let object = found.and_then(|object| serde_json::from_slice(&object.value).ok());
        // A malformed object or one of an earlier hour in the same slot is overwritten.
        if let Some(object) = object.filter(|object: &AuditObject| object.hour == self.hour) {
            if object.writer == self.writer
                && let Some(count) = self.attempts.remove(&object.sequence)
            {
                self.attempts.clear();
                self.waiting.drain(..count);
            }
            self.stored = object.records;
        }
    }

    fn start_part(&mut self, hour: u64, part: u32) {
        self.hour = hour;
        self.part = part;
        self.version = None;
        self.stored.clear();
        self.attempts.clear();
    }

    /// Returns the number of pending records that fit into an object with `used` bytes of records.
    fn fitting(&self, used: usize) -> usize {
        // The fixed fields of the object take less than 1 KiB.
        let mut left = (AuditObject::MAX_BYTES - 1_024).saturating_sub(used);
        self.waiting
            .iter()
            .take_while(|record| {
                let fits = length(record) <= left;
                left = left.saturating_sub(length(record));
                fits
            })
            .count()
    }

    fn key(&self) -> String {
        AuditObject::key(self.hour, &self.instance, self.part)
    }
}

/// Returns the length of a record in JSON, including the separator.
fn length(record: &AuditRecord) -> usize {
    serde_json::to_vec(record).map_or(0, |json| json.len() + 1)
}
