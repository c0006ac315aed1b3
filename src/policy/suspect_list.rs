use std::collections::BTreeMap;
use std::time::Duration;

use super::SuspectVerdict;
use crate::id::InstanceId;

/// Crashes after which a request is refused.
const MAX_CRASHES: u32 = 3;

/// Request fingerprints that were in flight at upstream crashes.
///
/// Each instance counts the crashes that it saw itself and shares only those; a fingerprint's total
/// is the sum over instances. Repeated or crossed news therefore changes nothing, and crashes seen
/// by two instances at the same time add up. Entries expire and their number is bounded.
#[derive(Debug, Clone)]
pub struct SuspectList {
    limit: usize,
    expiry: Duration,
    suspects: BTreeMap<u64, SuspectEntry>,
}

#[derive(Debug, Clone)]
struct SuspectEntry {
    own: u32,
    by_peer: BTreeMap<InstanceId, u32>,
    charged_at: Duration,
}

impl SuspectEntry {
    fn total(&self) -> u32 {
        self.by_peer
            .values()
            .fold(self.own, |sum, count| sum.saturating_add(*count))
    }
}

impl SuspectList {
    /// Creates an empty list of at most `limit` fingerprints, forgotten `expiry` after a crash.
    #[must_use]
    pub const fn new(limit: usize, expiry: Duration) -> Self {
        Self {
            limit,
            expiry,
            suspects: BTreeMap::new(),
        }
    }

    /// Charges a fingerprint with a crash that this instance saw.
    pub fn record_crash(&mut self, fingerprint: u64, now: Duration) {
        let entry = self.entry(fingerprint, now);
        entry.own = entry.own.saturating_add(1);
        entry.charged_at = now;
    }

    /// Judges a request by its fingerprint.
    #[must_use]
    pub fn verdict(&self, fingerprint: u64, now: Duration) -> SuspectVerdict {
        let entry = self
            .suspects
            .get(&fingerprint)
            .filter(|entry| now.saturating_sub(entry.charged_at) < self.expiry);
        match entry.map_or(0, SuspectEntry::total) {
            0 => SuspectVerdict::Clear,
            count if count < MAX_CRASHES => SuspectVerdict::Exclusive,
            _ => SuspectVerdict::Refused,
        }
    }

    /// Lists the crashes that this instance saw, to share with peers.
    #[must_use]
    pub fn local_counts(&self, now: Duration) -> BTreeMap<u64, u32> {
        self.suspects
            .iter()
            .filter(|(_, entry)| {
                entry.own > 0 && now.saturating_sub(entry.charged_at) < self.expiry
            })
            .map(|(fingerprint, entry)| (*fingerprint, entry.own))
            .collect()
    }

    /// Takes over the crashes that a peer saw.
    pub fn merge(&mut self, peer: &InstanceId, counts: &BTreeMap<u64, u32>, now: Duration) {
        for (fingerprint, count) in counts {
            if *count == 0 {
                continue;
            }
            let entry = self.entry(*fingerprint, now);
            let known = entry.by_peer.entry(peer.clone()).or_insert(0);
            // Only news renews the entry; otherwise heartbeats would keep it alive for ever.
            if *count > *known {
                *known = *count;
                entry.charged_at = now;
            }
        }
    }

    /// Returns the number of fingerprints.
    #[must_use]
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether no fingerprint is suspected.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Finds or adds an entry; a full list drops the one with the fewest, then the oldest crashes.
    fn entry(&mut self, fingerprint: u64, now: Duration) -> &mut SuspectEntry {
        let expiry = self.expiry;
        self.suspects
            .retain(|_, entry| now.saturating_sub(entry.charged_at) < expiry);
        if !self.suspects.contains_key(&fingerprint) && self.suspects.len() >= self.limit.max(1) {
            let weakest = self
                .suspects
                .iter()
                .min_by_key(|(_, entry)| (entry.total(), entry.charged_at))
                .map(|(fingerprint, _)| *fingerprint);
            if let Some(weakest) = weakest {
                self.suspects.remove(&weakest);
            }
        }
        self.suspects
            .entry(fingerprint)
            .or_insert_with(|| SuspectEntry {
                own: 0,
                by_peer: BTreeMap::new(),
                charged_at: now,
            })
    }
}
