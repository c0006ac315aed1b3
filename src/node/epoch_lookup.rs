use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use super::FleetView;
use crate::id::{OwnerEpoch, UpstreamId};
use crate::owner::{EpochStatus, ReleaseLedger};
use crate::time::ClockSource;

/// Maximum number of epochs with a recorded time; each upstream has at most one epoch per former
/// owner.
const MAX_EPOCHS: usize = 65_536;

/// Determines the status of the process that acquired an epoch, from the release ledger and the
/// membership.
#[derive(Debug)]
pub(super) struct EpochLookup {
    /// This process as `<instance>#<incarnation>`, from which its epochs are recognized.
    process: String,
    view: Arc<FleetView>,
    ledger: Arc<ReleaseLedger>,
    clock: ClockSource,
    /// Whether the process that acquired an epoch has ended, and since when this instance has
    /// observed that state.
    first_seen: Mutex<BTreeMap<(OwnerEpoch, UpstreamId), (bool, Duration)>>,
}

impl EpochLookup {
    pub fn new(
        process: String,
        view: Arc<FleetView>,
        ledger: Arc<ReleaseLedger>,
        clock: ClockSource,
    ) -> Self {
        Self {
            process,
            view,
            ledger,
            clock,
            first_seen: Mutex::default(),
        }
    }

    /// Returns the status of an epoch of an upstream.
    pub fn epoch_status(&self, upstream: &UpstreamId, epoch: OwnerEpoch) -> EpochStatus {
        match self.ledger.release_state(upstream, epoch) {
            Some(true) => return EpochStatus::Released,
            Some(false) => return EpochStatus::Draining,
            // The ledger has no entry for a former epoch of this process until the release task has
            // run.
            None if epoch.belongs_to(&self.process) => return EpochStatus::Draining,
            None => {}
        }
        let now = self.clock.now();
        let has_ended = self
            .view
            .members()
            .has_ended(|process| epoch.belongs_to(process));
        let mut first_seen = self
            .first_seen
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let entry = first_seen
            .entry((epoch, upstream.clone()))
            .or_insert((has_ended, now));
        if entry.0 != has_ended {
            *entry = (has_ended, now);
        }
        let since = now.saturating_sub(entry.1);
        while first_seen.len() > MAX_EPOCHS {
            first_seen.pop_first();
        }
        if has_ended {
            EpochStatus::Dead { dead_for: since }
        } else {
            EpochStatus::Silent { silent_for: since }
        }
    }
}
