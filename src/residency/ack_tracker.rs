use std::collections::BTreeMap;

use super::DigestedItem;
use crate::id::InstanceId;
use crate::peer::OwnedUpstream;

/// Tracks the residency items and suspect parts that each peer has acknowledged, so that gossip
/// messages do not repeat them in full.
///
/// With tens of owned engines, sending the names of all resident adapters to every peer several
/// times a second saturates the uplink of a small instance, which delays orders to engines.
#[derive(Debug, Default)]
pub struct AckTracker {
    /// The digest of the acknowledged item, by peer and upstream.
    acked: BTreeMap<InstanceId, BTreeMap<String, u64>>,
    /// The incarnation of each peer and the number of the last change of suspect parts that it has
    /// acknowledged.
    parts: BTreeMap<InstanceId, (u64, u64)>,
}

impl AckTracker {
    /// Creates a tracker without acknowledgements.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the items to send to a peer; items that it has acknowledged carry only their backlog
    /// and are marked as unchanged.
    #[must_use]
    pub fn items_for(&self, peer: &InstanceId, items: &[DigestedItem]) -> Vec<OwnedUpstream> {
        let acked = self.acked.get(peer);
        let to_delta = |entry: &DigestedItem| {
            let item = &entry.item;
            let known = acked.and_then(|acked| acked.get(&item.upstream));
            if known == Some(&entry.digest) {
                OwnedUpstream {
                    upstream: item.upstream.clone(),
                    backlog_ms: item.backlog_ms,
                    is_unchanged: true,
                    ..OwnedUpstream::default()
                }
            } else {
                item.clone()
            }
        };
        items.iter().map(to_delta).collect()
    }

    /// Records that a peer acknowledged the items of a message, except for those of the `unknown`
    /// upstreams, for which the peer has no entry from this instance, for example after a restart.
    pub fn record_acked(&mut self, peer: &InstanceId, items: &[DigestedItem], unknown: &[String]) {
        let acked = self.acked.entry(peer.clone()).or_default();
        acked.retain(|upstream, _| items.iter().any(|entry| entry.item.upstream == *upstream));
        for entry in items {
            let upstream = &entry.item.upstream;
            if unknown.contains(upstream) {
                acked.remove(upstream);
            } else if let Some(digest) = acked.get_mut(upstream) {
                *digest = entry.digest;
            } else {
                acked.insert(upstream.clone(), entry.digest);
            }
        }
    }

    /// Returns whether a peer, started as `incarnation`, has acknowledged a message with suspect parts.
    #[must_use]
    pub fn has_acked_parts(&self, peer: &InstanceId, incarnation: u64) -> bool {
        let known = self.parts.get(peer);
        known.is_some_and(|known| known.0 == incarnation)
    }

    /// Returns the number of the last change of suspect parts that a peer, started as `incarnation`, has
    /// acknowledged; zero if it has acknowledged none.
    #[must_use]
    pub fn acked_parts(&self, peer: &InstanceId, incarnation: u64) -> u64 {
        let known = self.parts.get(peer);
        known.map_or(0, |known| if known.0 == incarnation { known.1 } else { 0 })
    }

    /// Records that a peer, started as `incarnation`, acknowledged the changes of suspect parts up to
    /// `number`.
    pub fn record_acked_parts(&mut self, peer: &InstanceId, incarnation: u64, number: u64) {
        self.parts.insert(peer.clone(), (incarnation, number));
    }

    /// Removes the acknowledgements of all peers for which `is_kept` returns false.
    pub fn retain(&mut self, is_kept: impl Fn(&InstanceId) -> bool) {
        self.acked.retain(|peer, _| is_kept(peer));
        self.parts.retain(|peer, _| is_kept(peer));
    }
}
