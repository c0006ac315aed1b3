use crate::id::{DomainId, InstanceId};
use crate::peer::LivePeer;

/// Returns the instance that watches the store for this one; none if it has to do so itself.
///
/// Every call to the store has a price, and each of a hundred instances that asks for changes once
/// a second makes most of them in vain. A cut between domains leaves each its own watcher; a second
/// one would only cost calls, since an instance whose watcher fails asks the store. An instance
/// without a live peer in its domain watches itself.
#[must_use]
pub fn elect_watcher(
    instance: &InstanceId,
    domain: &DomainId,
    peers: &[LivePeer],
) -> Option<InstanceId> {
    peers
        .iter()
        .filter(|peer| peer.domain == *domain && peer.is_linked && !peer.is_draining)
        .map(|peer| &peer.id)
        .min()
        .filter(|first| *first < instance)
        .cloned()
}
