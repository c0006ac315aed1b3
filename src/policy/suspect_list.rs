use std::collections::BTreeMap;
use std::time::Duration;

use super::SuspectVerdict;
use crate::id::InstanceId;

/// Number of crashes at which a request is refused.
const MAX_CRASHES: u32 = 3;

/// Fingerprints of requests that were in flight when an upstream crashed.
///
/// Each instance shares only the counts of the crashes that it observed itself; the total of a
/// fingerprint is the sum over all instances. Duplicate or reordered messages from peers therefore
/// have no effect, and crashes observed by two instances at the same time add up. Entries expire
/// and their number is bounded.
#[derive(Debug, Clone)]
pub struct SuspectList {
    limit: usize,
    expiry: Duration,
    suspects: BTreeMap<u64, SuspectEntry>,
}

#[derive(Debug, Clone)]
struct SuspectEntry {
    local: u32,
    by_peer: BTreeMap<InstanceId, u32>,
    last_crash_at: Duration,
}

impl SuspectEntry {
    fn total(&self) -> u32 {
        self.by_peer
            .values()
            .fold(self.local, |sum, count| sum.saturating_add(*count))
    }

    fn verdict(&self) -> SuspectVerdict {
        match self.total() {
            0 => SuspectVerdict::Clear,
            count if count < MAX_CRASHES => SuspectVerdict::Exclusive,
            _ => SuspectVerdict::Refused,
        }
    }
}

impl SuspectList {
    /// Creates an empty list of at most `limit` fingerprints, which expire `expiry` after their
    /// last recorded crash.
    #[must_use]
    pub const fn new(limit: usize, expiry: Duration) -> Self {
        Self {
            limit,
            expiry,
            suspects: BTreeMap::new(),
        }
    }

    /// Records a crash that this instance observed while a request with the fingerprint was in
    /// flight; returns the number of crashes that all instances have observed.
    pub fn record_crash(&mut self, fingerprint: u64, now: Duration) -> u32 {
        let entry = self.entry(fingerprint, now);
        entry.local = entry.local.saturating_add(1);
        entry.last_crash_at = now;
        entry.total()
    }

    /// Returns how a request with the fingerprint must be treated.
    #[must_use]
    pub fn verdict(&self, fingerprint: u64, now: Duration) -> SuspectVerdict {
        let entry = self
            .suspects
            .get(&fingerprint)
            .filter(|entry| now.saturating_sub(entry.last_crash_at) < self.expiry);
        entry.map_or(SuspectVerdict::Clear, SuspectEntry::verdict)
    }

    /// Returns the crashes per fingerprint that this instance observed, to share with peers.
    #[must_use]
    pub fn local_counts(&self, now: Duration) -> BTreeMap<u64, u32> {
        self.suspects
            .iter()
            .filter(|(_, entry)| {
                entry.local > 0 && now.saturating_sub(entry.last_crash_at) < self.expiry
            })
            .map(|(fingerprint, entry)| (*fingerprint, entry.local))
            .collect()
    }

    /// Merges the crashes per fingerprint that a peer observed.
    pub fn merge(&mut self, peer: &InstanceId, counts: &BTreeMap<u64, u32>, now: Duration) {
        for (fingerprint, count) in counts {
            if *count == 0 {
                continue;
            }
            let entry = self.entry(*fingerprint, now);
            let counted = entry.by_peer.entry(peer.clone()).or_insert(0);
            // Only a higher count renews the entry; otherwise heartbeats would keep it alive
            // forever.
            if *count > *counted {
                *counted = *count;
                entry.last_crash_at = now;
            }
        }
    }

    /// Returns the number of entries, including expired ones that have not been removed yet.
    #[must_use]
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether the list has no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Finds or adds an entry; a full list evicts one that is not refused if there is one, with the
    /// fewest crashes, and of these the one with the oldest last crash.
    fn entry(&mut self, fingerprint: u64, now: Duration) -> &mut SuspectEntry {
        let expiry = self.expiry;
        self.suspects
            .retain(|_, entry| now.saturating_sub(entry.last_crash_at) < expiry);
        if !self.suspects.contains_key(&fingerprint) && self.suspects.len() >= self.limit.max(1) {
            let evicted = self
                .suspects
                .iter()
                .min_by_key(|(_, entry)| {
                    let is_refused = entry.verdict() == SuspectVerdict::Refused;
                    (is_refused, entry.total(), entry.last_crash_at)
                })
                .map(|(fingerprint, _)| *fingerprint);
            if let Some(evicted) = evicted {
                self.suspects.remove(&evicted);
            }
        }
        self.suspects
            .entry(fingerprint)
            .or_insert_with(|| SuspectEntry {
                local: 0,
                by_peer: BTreeMap::new(),
                last_crash_at: now,
            })
    }
}
