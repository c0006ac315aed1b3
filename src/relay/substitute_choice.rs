use std::collections::BTreeSet;

use crate::id::{DomainId, InstanceId};
use crate::peer::LivePeer;

/// Maximum number of peers that are asked at once for changes that the store does not provide. All
/// instances may ask at the same time, so that the number must not grow with the fleet.
const MAX_SUBSTITUTES: usize = 8;

/// Selects the peers to ask for changes while neither the watcher nor the store provides them.
///
/// The first linked peer of each failure domain comes first, since it watches the store for its domain
/// unless the store does not answer it either. The others follow in the order of `draw`, which returns
/// random numbers, so that repeated requests reach different peers.
#[must_use]
pub fn choose_substitutes(peers: &[LivePeer], mut draw: impl FnMut() -> u64) -> Vec<InstanceId> {
    let mut linked: Vec<&LivePeer> = peers
        .iter()
        .filter(|peer| peer.is_linked && !peer.is_draining)
        .collect();
    linked.sort_by(|peer, other| peer.id.cmp(&other.id));
    let mut domains: BTreeSet<&DomainId> = BTreeSet::new();
    let mut ranked: Vec<(bool, u64, &InstanceId)> = linked
        .into_iter()
        .map(|peer| (!domains.insert(&peer.domain), draw(), &peer.id))
        .collect();
    ranked.sort_unstable();
    ranked.truncate(MAX_SUBSTITUTES);
    ranked.into_iter().map(|(_, _, id)| id.clone()).collect()
}
