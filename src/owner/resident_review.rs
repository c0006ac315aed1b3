use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::EpochStatus;
use crate::id::{AdapterRef, EngineName, OwnerEpoch};
use crate::policy::SlotState;
use crate::upstream::ResidentAdapter;

/// What an owner makes of the adapters that its engine reports.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ResidentReview {
    /// Copies of former owners that may be used, and whether they may be evicted.
    pub usable: Vec<(EngineName, bool)>,
    /// Second copies of an adapter, idle and left by owners that have ended their work.
    pub surplus: BTreeSet<EngineName>,
    /// Copies of the own epoch that the scheduler does not know.
    pub untracked: BTreeSet<EngineName>,
    /// Slots that hold copies of former owners which are not used.
    pub blocked: u32,
}

/// What an owner knows when it reviews a status.
pub struct ReviewInput<'a, S, T> {
    /// The epoch of the owner.
    pub epoch: OwnerEpoch,
    /// The copies that the owner uses.
    pub names: &'a BTreeMap<AdapterRef, EngineName>,
    /// Copies whose eviction has been ordered because they are surplus.
    pub evicting: &'a BTreeSet<EngineName>,
    /// Tells the state of an adapter's slot.
    pub slot: S,
    /// Tells what is known about the owner of an epoch.
    pub epoch_status: T,
    /// Silence after which a former owner counts as ended.
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
    /// Sorts the adapters of a status by what the owner may do with them.
    ///
    /// Each copy takes a slot of the engine, so that one which is not used is counted as blocked. A
    /// copy is not used while the owner loads the same adapter: the load ends in a second copy.
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
            let is_second = known.is_some_and(|known| known != name)
                || (known.is_none() && slot == Some(SlotState::Loading))
                || review
                    .usable
                    .iter()
                    .any(|(other, _)| other.adapter() == adapter);
            let is_leaving = input.evicting.contains(name);
            if is_second || is_leaving || !status.is_usable(input.silence_limit) {
                review.blocked += 1;
                // While the first copy is loading, this one may still be needed.
                let is_needless = is_leaving || known.is_some_and(|known| known != name);
                if is_needless && is_evictable && resident.running == 0 {
                    review.surplus.insert(name.clone());
                }
                continue;
            }
            review.usable.push((name.clone(), is_evictable));
        }
        review
    }
}
