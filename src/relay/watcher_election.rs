use crate::id::{DomainId, InstanceId};
use crate::peer::LivePeer;

/// Returns the instance that watches the store on behalf of this one, or `None` if this instance
/// has to watch the store itself.
///
/// The lowest id among this instance and the linked peers of its failure domain that are not
/// draining is elected. Each call to the store has a cost, and if each of a hundred instances
/// polled it once a second, most calls would return no change. During a partition between failure
/// domains, each domain still has its own watcher. A second watcher in a domain would only add
/// calls, since an instance whose watcher fails calls the store itself. An instance without a live
/// peer in its domain watches the store itself.
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
        .filter(|lowest| *lowest < instance)
        .cloned()
}
