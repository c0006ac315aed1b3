use std::collections::BTreeMap;

use prost::Message;
use xxhash_rust::xxh3::xxh3_64;

use crate::id::InstanceId;
use crate::peer::OwnedUpstream;

/// Tracks the residency items and crash suspects that each peer has acknowledged, so that gossip
/// messages do not repeat them in full.
///
/// With tens of owned engines, sending the names of all resident adapters to every peer several
/// times a second saturates the uplink of a small instance, which delays orders to engines.
#[derive(Debug, Default)]
pub struct AckTracker {
    /// The digest of the acknowledged item, by peer and upstream.
    acked: BTreeMap<InstanceId, BTreeMap<String, u64>>,
    /// The incarnation of each peer and the crash suspects that it has acknowledged: the number of
    /// crashes by request fingerprint.
    suspects: BTreeMap<InstanceId, (u64, BTreeMap<u64, u32>)>,
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
    pub fn items_for(&self, peer: &InstanceId, items: &[OwnedUpstream]) -> Vec<OwnedUpstream> {
        let acked = self.acked.get(peer);
        let to_delta = |item: &OwnedUpstream| {
            let known = acked.and_then(|acked| acked.get(&item.upstream));
            if known == Some(&digest(item)) {
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
    pub fn record_acked(&mut self, peer: &InstanceId, items: &[OwnedUpstream], unknown: &[String]) {
        let digests = items
            .iter()
            .filter(|item| !unknown.contains(&item.upstream))
            .map(|item| (item.upstream.clone(), digest(item)));
        self.acked.insert(peer.clone(), digests.collect());
    }

    /// Returns whether a peer has acknowledged these crash suspects since it started as
    /// `incarnation`.
    #[must_use]
    pub fn has_acked_suspects(
        &self,
        peer: &InstanceId,
        incarnation: u64,
        suspects: &BTreeMap<u64, u32>,
    ) -> bool {
        suspects.is_empty()
            || self
                .suspects
                .get(peer)
                .is_some_and(|known| known.0 == incarnation && known.1 == *suspects)
    }

    /// Records that a peer, started as `incarnation`, acknowledged these crash suspects.
    pub fn record_acked_suspects(
        &mut self,
        peer: &InstanceId,
        incarnation: u64,
        suspects: BTreeMap<u64, u32>,
    ) {
        self.suspects.insert(peer.clone(), (incarnation, suspects));
    }

    /// Removes the acknowledgements of all peers for which `is_kept` returns false.
    pub fn retain(&mut self, is_kept: impl Fn(&InstanceId) -> bool) {
        self.acked.retain(|peer, _| is_kept(peer));
        self.suspects.retain(|peer, _| is_kept(peer));
    }
}

/// Returns a digest of the item without its backlog, which is sent in every message.
fn digest(item: &OwnedUpstream) -> u64 {
    let resident = OwnedUpstream {
        backlog_ms: 0,
        ..item.clone()
    };
    xxh3_64(&resident.encode_to_vec())
}
