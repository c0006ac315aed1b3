use super::TABLES_KEY;
use crate::error::{Error, ErrorKind, Result};
use crate::platform::{ObjectStore, StoredObject};
use crate::table::TableSet;

/// The accepted tables with the version of their object.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredTables {
    /// The tables; those of revision zero if none have been accepted yet.
    pub tables: TableSet,
    /// The version of the object, or `None` if it does not exist.
    pub version: Option<u64>,
}

impl StoredTables {
    /// Reads the accepted tables.
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

    /// Parses the object.
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

    /// Returns the state before the first edit.
    #[must_use]
    pub fn empty() -> Self {
        Self {
            tables: TableSet::default(),
            version: None,
        }
    }

    /// Returns whether an edit has been accepted into these tables.
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
