use std::collections::BTreeMap;

use prost::Message;
use xxhash_rust::xxh3::xxh3_64;

use crate::id::InstanceId;
use crate::peer::OwnedItem;

/// Remembers what each peer has confirmed about the owned upstreams, so that shares repeat only what
/// has changed.
///
/// With tens of owned engines the names of all resident adapters would fill the uplink of a small
/// instance when they go to every peer several times a second; orders to engines then came late.
#[derive(Debug, Default)]
pub struct AckTracker {
    confirmed: BTreeMap<InstanceId, BTreeMap<String, u64>>,
    /// The process of each peer and the suspects that it has confirmed.
    suspects: BTreeMap<InstanceId, (u64, BTreeMap<u64, u32>)>,
}

impl AckTracker {
    /// Creates a ledger in which no peer has confirmed anything.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the items for a peer; those that it has confirmed carry no names of adapters.
    #[must_use]
    pub fn items_for(&self, peer: &InstanceId, items: &[OwnedItem]) -> Vec<OwnedItem> {
        let confirmed = self.confirmed.get(peer);
        let narrow = |item: &OwnedItem| {
            let known = confirmed.and_then(|confirmed| confirmed.get(&item.upstream));
            if known == Some(&digest(item)) {
                OwnedItem {
                    upstream: item.upstream.clone(),
                    backlog_ms: item.backlog_ms,
                    is_unchanged: true,
                    ..OwnedItem::default()
                }
            } else {
                item.clone()
            }
        };
        items.iter().map(narrow).collect()
    }

    /// Notes that a peer has taken the items of a share, but for the `unknown` upstreams: it has
    /// started again or has forgotten them.
    pub fn record_acked(&mut self, peer: &InstanceId, items: &[OwnedItem], unknown: &[String]) {
        let taken = items
            .iter()
            .filter(|item| !unknown.contains(&item.upstream))
            .map(|item| (item.upstream.clone(), digest(item)));
        self.confirmed.insert(peer.clone(), taken.collect());
    }

    /// Returns whether the process `incarnation` of a peer has confirmed these suspects.
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

    /// Notes that the process `incarnation` of a peer has taken these suspects.
    pub fn record_acked_suspects(
        &mut self,
        peer: &InstanceId,
        incarnation: u64,
        suspects: BTreeMap<u64, u32>,
    ) {
        self.suspects.insert(peer.clone(), (incarnation, suspects));
    }

    /// Forgets peers that `is_kept` does not name.
    pub fn retain(&mut self, is_kept: impl Fn(&InstanceId) -> bool) {
        self.confirmed.retain(|peer, _| is_kept(peer));
        self.suspects.retain(|peer, _| is_kept(peer));
    }
}

/// Condenses what an item says about residency; the backlog is sent in any case.
fn digest(item: &OwnedItem) -> u64 {
    let resident = OwnedItem {
        backlog_ms: 0,
        ..item.clone()
    };
    xxh3_64(&resident.encode_to_vec())
}
