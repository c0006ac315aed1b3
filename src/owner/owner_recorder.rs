use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{DomainId, InstanceId, OwnerEpoch, UpstreamId};
use crate::platform_client::{ObjectStore, WriteOutcome};

/// Maximum number of attempts of the conditional write, which fails when another instance of the
/// same failure domain has changed the record.
const WRITE_ATTEMPTS: u32 = 5;
/// Timeout of each store operation; ownership proceeds without a record while the store is
/// unavailable.
const RECORD_TIMEOUT: Duration = Duration::from_millis(500);

/// One row of the ownership record of a failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRow {
    /// The instance that took ownership in this epoch.
    pub instance: InstanceId,
    /// The epoch, as returned by [`OwnerEpoch::to_u64`].
    pub epoch: u64,
}

/// Maintains the ownership record `owners/<failure domain>` in the object store.
///
/// The record lets a new owner choose an epoch above every earlier one even if the engine has
/// restarted and lost them. It is only a hint: safety relies on the epochs in engine names.
#[derive(Debug, Clone)]
pub struct OwnerRecorder {
    store: ObjectStore,
    key: String,
    pending: Arc<Mutex<BTreeMap<UpstreamId, OwnerRow>>>,
    cached: Arc<Mutex<BTreeMap<UpstreamId, OwnerRow>>>,
}

impl OwnerRecorder {
    /// Creates a recorder of the failure domain's record, with nothing queued or cached.
    #[must_use]
    pub fn new(store: ObjectStore, domain: &DomainId) -> Self {
        Self {
            store,
            key: format!("owners/{domain}"),
            pending: Arc::default(),
            cached: Arc::default(),
        }
    }

    /// Returns the upstream's latest epoch in the record as last read or written.
    #[must_use]
    pub fn epoch(&self, upstream: &UpstreamId) -> Option<OwnerEpoch> {
        let cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
        cached
            .get(upstream)
            .map(|row| OwnerEpoch::from_u64(row.epoch))
    }

    /// Reads the record into the cache, which stays unchanged if the store does not respond.
    pub async fn refresh(&self) {
        if let Ok(Ok(Some(object))) =
            tokio::time::timeout(RECORD_TIMEOUT, self.store.read(&self.key)).await
        {
            self.update_cache(&parse(&object.value));
        }
    }

    /// Queues a row for the next [`OwnerRecorder::flush`].
    pub fn record(&self, upstream: &UpstreamId, instance: &InstanceId, epoch: OwnerEpoch) {
        let row = OwnerRow {
            instance: instance.clone(),
            epoch: epoch.to_u64(),
        };
        self.pending
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(upstream.clone(), row);
    }

    /// Writes all queued rows in one conditional update; rows that were not written stay queued.
    pub async fn flush(&self) {
        let rows = self
            .pending
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        if rows.is_empty() {
            return;
        }
        for _ in 0..WRITE_ATTEMPTS {
            let Ok(Ok(current)) =
                tokio::time::timeout(RECORD_TIMEOUT, self.store.read(&self.key)).await
            else {
                return;
            };
            let version = current.as_ref().map(|object| object.version);
            let mut record = current
                .map(|object| parse(&object.value))
                .unwrap_or_default();
            for (upstream, row) in &rows {
                let is_newer = record
                    .get(upstream)
                    .is_none_or(|known| known.epoch < row.epoch);
                if is_newer {
                    record.insert(upstream.clone(), row.clone());
                }
            }
            let value = serde_json::to_vec(&record).unwrap_or_default();
            let write = self.store.write(&self.key, &value, version);
            match tokio::time::timeout(RECORD_TIMEOUT, write).await {
                Ok(Ok(WriteOutcome::Written(_))) => {
                    self.update_cache(&record);
                    self.remove_pending(&rows);
                    return;
                }
                Ok(Ok(WriteOutcome::Conflict(_))) => {}
                Ok(Err(_)) | Err(_) => return,
            }
        }
    }

    fn update_cache(&self, record: &BTreeMap<UpstreamId, OwnerRow>) {
        let mut cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
        for (upstream, row) in record {
            let is_newer = cached
                .get(upstream)
                .is_none_or(|known| known.epoch < row.epoch);
            if is_newer {
                cached.insert(upstream.clone(), row.clone());
            }
        }
    }

    fn remove_pending(&self, rows: &BTreeMap<UpstreamId, OwnerRow>) {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        pending.retain(|upstream, row| rows.get(upstream) != Some(row));
    }
}

/// Decodes a record; an invalid one is treated as empty, since the record is only a hint.
fn parse(value: &[u8]) -> BTreeMap<UpstreamId, OwnerRow> {
    serde_json::from_slice(value).unwrap_or_default()
}
