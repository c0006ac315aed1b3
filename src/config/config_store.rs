use std::sync::{Arc, Mutex, PoisonError};

use tokio::sync::watch;

use super::AdoptOutcome;
use super::delta_history::DeltaHistory;
use crate::error::{Error, ErrorKind, Result};
use crate::peer::{ConfigDelta, ConfigPull};
use crate::table::{RowPlaces, TableDelta, TableRows, TableSet};
use crate::telemetry::{LogEvent, LogName};

/// The tables in force at this node.
///
/// Adopts only strictly newer revisions, both from the platform and from peers, and keeps the most
/// recent deltas so that peers can catch up without a complete transfer.
#[derive(Debug, Clone)]
pub struct ConfigStore {
    current: watch::Sender<Arc<TableSet>>,
    state: Arc<Mutex<AdoptState>>,
}

#[derive(Debug, Default)]
struct AdoptState {
    revision: u64,
    rows: TableRows,
    history: DeltaHistory,
}

impl ConfigStore {
    /// Creates a store without tables; its revision is zero.
    #[must_use]
    pub fn new() -> Self {
        Self {
            current: watch::Sender::new(Arc::default()),
            state: Arc::default(),
        }
    }

    /// Returns the tables in force.
    #[must_use]
    pub fn current(&self) -> Arc<TableSet> {
        Arc::clone(&self.current.borrow())
    }

    /// Returns the revision in force; zero if no tables have been adopted yet.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.current.borrow().revision
    }

    /// Returns whether tables are in force.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.revision() > 0
    }

    /// Subscribes to changes; the initial value is the tables in force.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<TableSet>> {
        self.current.subscribe()
    }

    /// Checks complete tables and adopts them if they are newer.
    ///
    /// # Errors
    ///
    /// Fails if the check finds faults; the tables in force are kept.
    pub fn offer(&self, tables: TableSet) -> Result<AdoptOutcome> {
        if tables.revision <= self.revision() {
            return Ok(AdoptOutcome::Stale);
        }
        check(&tables)?;
        let rows = TableRows::from_set(&tables)?;
        let mut state = self.state();
        if tables.revision <= state.revision {
            return Ok(AdoptOutcome::Stale);
        }
        let delta = state.rows.diff(state.revision, &rows, tables.revision);
        self.adopt(&mut state, tables, rows, delta);
        Ok(AdoptOutcome::Adopted)
    }

    /// Applies the reply of a peer to [`ConfigStore::to_pull`], then checks and adopts the result
    /// if it is newer.
    ///
    /// # Errors
    ///
    /// Fails if a row is malformed, if the digest of a complete delta does not match its rows, or
    /// if the check finds faults; the tables in force are kept.
    pub fn offer_delta(&self, message: ConfigDelta) -> Result<AdoptOutcome> {
        let delta = TableDelta::from_message(message);
        let mut state = self.state();
        if delta.revision <= state.revision {
            return Ok(AdoptOutcome::Stale);
        }
        if !delta.is_complete() && delta.base != state.revision {
            return Ok(AdoptOutcome::PullAgain(state.revision));
        }
        let rows = match state.rows.apply(&delta) {
            Ok(rows) => rows,
            // The local rows differ from those that the peer computed the delta from.
            Err(_) if !delta.is_complete() => return Ok(AdoptOutcome::PullAgain(0)),
            Err(error) => return Err(error),
        };
        let tables = if delta.is_complete() {
            rows.to_set(delta.revision)?
        } else {
            rows.patch(&self.current(), &delta)?
        };
        check(&tables)?;
        let delta = if delta.is_complete() {
            state.rows.diff(state.revision, &rows, delta.revision)
        } else {
            delta
        };
        self.adopt(&mut state, tables, rows, delta);
        Ok(AdoptOutcome::Adopted)
    }

    /// Creates the message that requests newer tables from a peer.
    #[must_use]
    pub fn to_pull(&self) -> ConfigPull {
        ConfigPull {
            base: self.revision(),
        }
    }

    /// Creates the reply to a pull: the changed rows if the history reaches back to the revision of
    /// the peer, no rows if the peer is up to date or newer, and otherwise all rows.
    #[must_use]
    pub fn delta_for(&self, pull: &ConfigPull) -> ConfigDelta {
        let state = self.state();
        let delta = if pull.base >= state.revision {
            state.rows.diff(pull.base, &state.rows, state.revision)
        } else {
            state
                .history
                .since(pull.base)
                .unwrap_or_else(|| TableDelta::complete(&state.rows, state.revision))
        };
        delta.to_message()
    }

    fn adopt(&self, state: &mut AdoptState, tables: TableSet, rows: TableRows, delta: TableDelta) {
        LogEvent::new(LogName::ConfigAdopted)
            .with_count("revision", tables.revision)
            .with_count("previous", state.revision)
            .with_count("changed", (delta.rows.len() + delta.removed.len()) as u64)
            .with("operation", &tables.operation)
            .with("author", &tables.author)
            .send();
        state.revision = tables.revision;
        state.rows = rows;
        state.history.push(delta);
        // Published while the lock is held, so that subscribers see revisions in ascending order.
        self.current.send_replace(Arc::new(tables));
    }

    fn state(&self) -> std::sync::MutexGuard<'_, AdoptState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for ConfigStore {
    fn default() -> Self {
        Self::new()
    }
}

fn check(tables: &TableSet) -> Result<()> {
    let faults = tables.check(&RowPlaces::default());
    if let Some(fault) = faults.first() {
        LogEvent::new(LogName::ConfigRefused)
            .with_count("revision", tables.revision)
            .with_count("faults", faults.len() as u64)
            .with("reason", fault)
            .send();
        return Err(Error::new(
            ErrorKind::Table,
            format!("revision {}: {fault}", tables.revision),
        ));
    }
    Ok(())
}
