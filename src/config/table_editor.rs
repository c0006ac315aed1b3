use std::time::{Duration, SystemTime, UNIX_EPOCH};

use super::{EditOutcome, RetryDelay, StoredTables, TABLES_KEY, TableDifference, TableEdit};
use crate::error::{Error, ErrorKind, Result, RunState};
use crate::platform_client::{ObjectStore, VALUE_LIMIT_BYTES, WriteOutcome};
use crate::table::{RowPlaces, TableSet};

/// Replaces the accepted tables, by one conditional write per edit.
#[derive(Debug, Clone)]
pub struct TableEditor {
    store: ObjectStore,
    attempts: u32,
}

impl TableEditor {
    /// Number of ids of earlier edits that the object retains. At one edit per 4 s they cover
    /// 4 minutes, which is longer than an editor tries to determine the outcome of its edit.
    const RECENT_OPERATIONS: usize = 64;

    /// Creates an editor that writes up to `attempts` times, at least once, until the outcome of an
    /// edit is known.
    #[must_use]
    pub const fn new(store: ObjectStore, attempts: u32) -> Self {
        Self { store, attempts }
    }

    /// Checks an edit and applies it, unless it has been accepted before or changes nothing.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Table`] if the tables have faults or exceed the maximum size of an
    /// object, and [`ErrorKind::Platform`] if the platform does not answer. The run state of the
    /// error is `NotRun` if the edit certainly changed nothing and `Unknown` if it may have been
    /// accepted.
    pub async fn apply(&self, edit: &TableEdit) -> Result<EditOutcome> {
        let tables = TableSet {
            routes: edit.routes.clone(),
            pools: edit.pools.clone(),
            ..TableSet::default()
        };
        if let Some(fault) = tables.check(&RowPlaces::default()).first() {
            return Err(Error::new(ErrorKind::Table, fault.to_string()));
        }
        let stored = StoredTables::read(&self.store).await.map_err(|error| {
            Error::new(
                error.kind(),
                format!(
                    "the accepted tables cannot be read, nothing was changed: {}",
                    error.detail()
                ),
            )
        })?;
        if stored.has_operation(&edit.operation) {
            return Ok(already_applied(&stored));
        }
        if edit.base.is_some_and(|base| base != stored.tables.revision) {
            return conflict(stored, &tables);
        }
        let difference = TableDifference::between(&stored.tables, &tables)?;
        if difference.is_empty() && stored.tables.revision > edit.above {
            return Ok(EditOutcome::Unchanged {
                revision: stored.tables.revision,
            });
        }
        let next = next_set(edit, &stored, tables);
        let value = serde_json::to_vec(&next)
            .map_err(|error| Error::new(ErrorKind::Internal, format!("tables: {error}")))?;
        if value.len() > VALUE_LIMIT_BYTES {
            return Err(Error::new(
                ErrorKind::Table,
                format!(
                    "the tables take {} bytes and an object at most {VALUE_LIMIT_BYTES}; \
                     join adapters into families such as \"press-*@3\"",
                    value.len()
                ),
            ));
        }
        self.write_until_settled(&next, &value, stored.version, difference)
            .await
    }

    /// Repeats a conditional write until its outcome is known.
    ///
    /// A failed write may still take effect later. Repeating it with the same expected version is
    /// safe: at most one of the writes is accepted, and a conflict returns the tables with the id
    /// of the accepted edit.
    async fn write_until_settled(
        &self,
        next: &TableSet,
        value: &[u8],
        expected: Option<u64>,
        difference: TableDifference,
    ) -> Result<EditOutcome> {
        let mut delay = RetryDelay::new(Duration::from_millis(100), Duration::from_secs(2));
        let mut last_error = String::new();
        for _ in 0..self.attempts.max(1) {
            let stored = match self.store.write(TABLES_KEY, value, expected).await {
                Ok(WriteOutcome::Written(_)) => {
                    return Ok(EditOutcome::Applied {
                        revision: next.revision,
                        difference,
                    });
                }
                Ok(WriteOutcome::Conflict(None)) => Ok(StoredTables::empty()),
                Ok(WriteOutcome::Conflict(Some(object))) => StoredTables::from_object(&object),
                Err(error) => {
                    error.detail().clone_into(&mut last_error);
                    StoredTables::read(&self.store).await
                }
            };
            match stored {
                Ok(stored) if stored.has_operation(&next.operation) => {
                    return Ok(EditOutcome::Applied {
                        revision: next.revision,
                        difference,
                    });
                }
                Ok(stored) if stored.version > expected => return conflict(stored, next),
                // The write has not taken effect yet, or the read was stale.
                Ok(_) => {}
                Err(error) => error.detail().clone_into(&mut last_error),
            }
            tokio::time::sleep(delay.next(rand::random())).await;
        }
        Err(Error::new(
            ErrorKind::Platform,
            format!(
                "the outcome of edit {} is unknown: {last_error}; apply the same files again with \
                 --operation {}",
                next.operation, next.operation
            ),
        )
        .with_run_state(RunState::Unknown))
    }
}

fn next_set(edit: &TableEdit, stored: &StoredTables, tables: TableSet) -> TableSet {
    let edited_at = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let before = &stored.tables;
    let mut recent_operations: Vec<String> = std::iter::once(&before.operation)
        .chain(&before.recent_operations)
        .filter(|operation| !operation.is_empty())
        .cloned()
        .collect();
    recent_operations.truncate(TableEditor::RECENT_OPERATIONS);
    TableSet {
        revision: before.revision.max(edit.above) + 1,
        operation: edit.operation.clone(),
        author: edit.author.clone(),
        edited_at_ms: u64::try_from(edited_at.as_millis()).unwrap_or(u64::MAX),
        recent_operations,
        ..tables
    }
}

fn already_applied(stored: &StoredTables) -> EditOutcome {
    EditOutcome::Applied {
        revision: stored.tables.revision,
        difference: TableDifference::default(),
    }
}

fn conflict(stored: StoredTables, requested: &TableSet) -> Result<EditOutcome> {
    let difference = TableDifference::between(&stored.tables, requested)?;
    Ok(EditOutcome::Conflict {
        accepted: Box::new(stored.tables),
        difference,
    })
}
