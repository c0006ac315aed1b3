use crate::id::{DomainId, InstanceId};
use crate::peer::LivePeer;

/// Instances of a failure domain that watch the store closely. A cut between domains leaves each
/// its own; a second one would only cost calls, as every instance goes on watching with long waits.
const WATCHERS_PER_DOMAIN: usize = 1;

/// Returns whether an instance watches the store with short waits for its failure domain.
///
/// Every call to the store has a price, and each of a hundred instances that asks for changes once
/// a second makes most of them in vain. A change ends a wait of any length at once; short waits only
/// bound the time until a lost answer is noticed, and peers tell which revisions they have read. An
/// instance without a live peer in its domain watches closely itself.
#[must_use]
pub fn has_watch_duty(instance: &InstanceId, domain: &DomainId, peers: &[LivePeer]) -> bool {
    let ahead = peers
        .iter()
        .filter(|peer| peer.domain == *domain && peer.is_linked && !peer.is_draining)
        .filter(|peer| peer.id < *instance)
        .count();
    ahead < WATCHERS_PER_DOMAIN
}
