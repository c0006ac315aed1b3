use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::EpochStatus;
use crate::id::{AdapterRef, EngineName, OwnerEpoch};
use crate::policy::SlotState;
use crate::upstream::ResidentAdapter;

/// Classification of the resident adapters that an engine reports to its owner.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ResidentReview {
    /// Copies loaded by former owners that may be used, and whether each may be evicted.
    pub usable: Vec<(EngineName, bool)>,
    /// Idle copies to evict. Their owners have ended their work, and they either duplicate the copy
    /// in use or were ordered to be evicted before.
    pub surplus: BTreeSet<EngineName>,
    /// Copies of the reviewing owner's epoch that its scheduler does not track.
    pub untracked: BTreeSet<EngineName>,
    /// Number of slots occupied by copies of former owners that are not used.
    pub blocked: u32,
}

/// The owner's state that a status is reviewed against.
pub struct ReviewInput<'a, S, T> {
    /// The epoch of the reviewing owner.
    pub epoch: OwnerEpoch,
    /// The copy of each adapter that the owner uses.
    pub names: &'a BTreeMap<AdapterRef, EngineName>,
    /// Surplus copies whose eviction has been ordered.
    pub evicting: &'a BTreeSet<EngineName>,
    /// Returns the state of an adapter's slot, or `None` if it has none.
    pub slot: S,
    /// Returns the status of the owner of an epoch.
    pub epoch_status: T,
    /// Time after which an unresponsive former owner is treated as dead; never if `None`.
    pub silence_limit: Option<Duration>,
}

impl<S, T> std::fmt::Debug for ReviewInput<'_, S, T> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ReviewInput")
            .field("epoch", &self.epoch)
            .field("names", &self.names)
            .field("leaving", &self.evicting)
            .finish_non_exhaustive()
    }
}

impl ResidentReview {
    /// Classifies the adapters of a status by what the owner may do with them.
    ///
    /// Each copy occupies a slot of the engine, so an unused copy of a former owner counts as
    /// blocked. A copy is not used while the owner loads the same adapter, since the load produces
    /// a second copy.
    #[must_use]
    pub fn from_status<S, T>(residents: &[ResidentAdapter], input: &ReviewInput<'_, S, T>) -> Self
    where
        S: Fn(&AdapterRef) -> Option<SlotState>,
        T: Fn(OwnerEpoch) -> EpochStatus,
    {
        let mut review = Self::default();
        for resident in residents {
            let (name, adapter) = (&resident.name, resident.name.adapter());
            let known = input.names.get(adapter);
            let slot = (input.slot)(adapter);
            if name.epoch() == input.epoch {
                if known.is_none() && slot.is_none() {
                    review.untracked.insert(name.clone());
                }
                continue;
            }
            let status = (input.epoch_status)(name.epoch());
            let is_evictable = status.is_evictable(input.silence_limit, resident.running);
            let is_duplicate = known.is_some_and(|known| known != name)
                || (known.is_none() && slot == Some(SlotState::Loading))
                || review
                    .usable
                    .iter()
                    .any(|(other, _)| other.adapter() == adapter);
            let is_evicting = input.evicting.contains(name);
            if is_duplicate || is_evicting || !status.is_usable(input.silence_limit) {
                review.blocked += 1;
                // While the owner's copy is still loading, this one is kept in case the load fails.
                let is_redundant = is_evicting || known.is_some_and(|known| known != name);
                if is_redundant && is_evictable && resident.running == 0 {
                    review.surplus.insert(name.clone());
                }
                continue;
            }
            review.usable.push((name.clone(), is_evictable));
        }
        review
    }
}
