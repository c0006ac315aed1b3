//! What a lease does when the store has come back from an older copy of itself.

use std::time::Duration;

use super::{DomainLease, LeaseRecord, LeaseStep};

/// The era of the store that an instance knows of.
#[derive(Debug, Clone, Copy)]
pub(super) struct KnownEra {
    pub(super) era: u64,
    /// When the instance learned that the store had come back, or `None` if it has not.
    pub(super) began_at: Option<Duration>,
}

/// Number of epochs of an era. Domains change their holder a few times an hour, so that no era needs as
/// many, and each epoch of a later era is above all those of an earlier one, also above the lost ones.
const EPOCHS_PER_ERA: u64 = 1 << 20;

impl DomainLease {
    /// Records the era of the store.
    ///
    /// In a later era than the known one, the record may lack the latest holder. A holder writes it
    /// again, and every instance waits with a takeover as if it had just heard of a holder.
    pub fn observe_era(&mut self, era: u64, now: Duration) {
        let began_at = match self.era {
            Some(known) if era <= known.era => return,
            Some(_) => Some(now),
            None => None,
        };
        self.era = Some(KnownEra { era, began_at });
        if began_at.is_some() {
            self.holder_seen_at = now;
            self.seen = None;
            if let Some(held) = &mut self.held {
                held.is_outdated = true;
            }
        }
    }

    /// Returns the era of the store, zero before it is known.
    pub(super) fn known_era(&self) -> u64 {
        self.era.map_or(0, |known| known.era)
    }

    /// Returns whether a renewal at the given time is no proof that no other instance holds the domain:
    /// the store may have lost a takeover, whose instance needs the takeover timeout to learn of it.
    pub(super) fn is_unproven_since_era(&self, renewed_at: Duration) -> bool {
        let began_at = self.era.and_then(|known| known.began_at);
        began_at.is_some_and(|began_at| renewed_at < began_at + Self::TAKEOVER_TIMEOUT)
    }

    /// Returns whether orders with the epoch of the earlier era may still arrive, which must not follow
    /// those with the epoch of the present one.
    pub(super) fn is_changing_epoch(&self, now: Duration) -> bool {
        let began_at = self.era.and_then(|known| known.began_at);
        let held = self.held.as_ref();
        held.is_some_and(|held| self.is_of_earlier_era(&held.record))
            || began_at.is_some_and(|at| now < at + Self::VALIDITY + Self::MAX_ORDER_TIME)
    }

    /// Returns whether a record was written in an earlier era than the present one.
    pub(super) fn is_of_earlier_era(&self, record: &LeaseRecord) -> bool {
        record.era < self.known_era()
    }

    /// Returns the epoch of a takeover after a record with the epoch `recorded`.
    pub(super) fn next_epoch(&self, recorded: u64) -> u64 {
        // A record that the store lost may have had the highest epoch.
        let has_lost = self.era.is_some_and(|known| known.began_at.is_some());
        let known = if has_lost { self.known_epoch } else { 0 };
        let next = recorded.max(known).saturating_add(1);
        next.max(self.known_era().saturating_mul(EPOCHS_PER_ERA))
    }

    /// Returns the write that restores the record of a held lease, if the store has none of its era;
    /// `found` is the record with its revision.
    pub(super) fn restore_record(&self, found: Option<&(LeaseRecord, u64)>) -> Option<LeaseStep> {
        let held = self.held.as_ref()?;
        let is_lost = found.is_none_or(|(record, _)| self.is_of_earlier_era(record));
        if !is_lost || !self.is_of_earlier_era(&held.record) {
            return None;
        }
        let record = LeaseRecord {
            epoch: self.next_epoch(held.record.epoch),
            renewals: 0,
            era: self.known_era(),
            ..held.record.clone()
        };
        Some(LeaseStep::Write(
            record,
            found.map(|(_, revision)| *revision),
        ))
    }
}
