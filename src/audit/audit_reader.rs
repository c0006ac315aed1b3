use super::{AuditObject, AuditRecord};
use crate::error::Result;
use crate::platform_client::ObjectStore;

/// Reads the audit records of all instances from the object store.
#[derive(Debug, Clone)]
pub struct AuditReader {
    store: ObjectStore,
}

impl AuditReader {
    /// Creates a reader of the audit objects in `store`.
    #[must_use]
    pub const fn new(store: ObjectStore) -> Self {
        Self { store }
    }

    /// Reads the records of an hour, ordered by time; `hour` counts from the Unix epoch.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer.
    pub async fn read_hour(&self, hour: u64) -> Result<Vec<AuditRecord>> {
        let objects = self.store.list(&AuditObject::prefix(hour)).await?;
        let mut records: Vec<AuditRecord> = objects
            .iter()
            .filter_map(|object| serde_json::from_slice::<AuditObject>(&object.value).ok())
            .filter(|object| object.hour == hour)
            .flat_map(|object| object.records)
            .collect();
        records.sort_by_key(|record| record.at_ms);
        Ok(records)
    }
}
