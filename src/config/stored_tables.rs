use super::TABLES_KEY;
use crate::error::{Error, ErrorKind, Result};
use crate::platform_client::{ObjectStore, StoredObject};
use crate::table::TableSet;

/// The accepted tables together with the version of the object that holds them.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredTables {
    /// The tables; empty ones of revision zero if none have been accepted yet.
    pub tables: TableSet,
    /// The version of the object, for a conditional write; `None` if the object does not exist.
    pub version: Option<u64>,
}

impl StoredTables {
    /// Reads the accepted tables from the object store.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer or if the object is malformed.
    pub async fn read(store: &ObjectStore) -> Result<Self> {
        store
            .read(TABLES_KEY)
            .await?
            .map_or_else(|| Ok(Self::empty()), |object| Self::from_object(&object))
    }

    /// Parses an object that has been read from the store.
    ///
    /// # Errors
    ///
    /// Fails if the object is malformed.
    pub fn from_object(object: &StoredObject) -> Result<Self> {
        let tables = serde_json::from_slice(&object.value).map_err(|error| {
            Error::new(
                ErrorKind::Table,
                format!("object {TABLES_KEY:?} version {}: {error}", object.version),
            )
        })?;
        Ok(Self {
            tables,
            version: Some(object.version),
        })
    }

    /// Returns the state before the first edit: empty tables and no object.
    #[must_use]
    pub fn empty() -> Self {
        Self {
            tables: TableSet::default(),
            version: None,
        }
    }

    /// Returns whether the edit with this id is the latest or one of the recent accepted edits.
    #[must_use]
    pub fn has_operation(&self, operation: &str) -> bool {
        self.tables.operation == operation
            || self
                .tables
                .recent_operations
                .iter()
                .any(|recent| recent == operation)
    }
}
