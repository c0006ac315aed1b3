use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use super::FleetView;
use crate::id::{OwnerEpoch, UpstreamId};
use crate::owner::{EpochStanding, ReleaseLedger};
use crate::time::ClockSource;

/// Epochs whose silence is timed; each upstream has at most one epoch per former owner.
const SILENCE_LIMIT: usize = 65_536;

/// Finds out what is known about the process behind an epoch.
#[derive(Debug)]
pub(super) struct EpochLookup {
    process: String,
    view: Arc<FleetView>,
    ledger: Arc<ReleaseLedger>,
    clock: ClockSource,
    /// When this instance first met an epoch without news of its owner.
    silent_since: Mutex<BTreeMap<(OwnerEpoch, UpstreamId), Duration>>,
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
            silent_since: Mutex::default(),
        }
    }

    /// Judges an epoch of an upstream.
    pub fn standing(&self, upstream: &UpstreamId, epoch: OwnerEpoch) -> EpochStanding {
        match self.ledger.release(upstream, epoch) {
            Some(true) => return EpochStanding::Released,
            Some(false) => return EpochStanding::Draining,
            // The release of an own former epoch is recorded once its task runs.
            None if epoch.is_of(&self.process) => return EpochStanding::Draining,
            None => {}
        }
        let now = self.clock.now();
        if self
            .view
            .members()
            .has_ended(|process| epoch.is_of(process))
        {
            return EpochStanding::Dead;
        }
        let mut silent_since = self
            .silent_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let since = *silent_since.entry((epoch, upstream.clone())).or_insert(now);
        while silent_since.len() > SILENCE_LIMIT {
            silent_since.pop_first();
        }
        EpochStanding::Silent {
            silent_for: now.saturating_sub(since),
        }
    }
}
