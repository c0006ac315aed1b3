use std::collections::BTreeMap;
use std::sync::Arc;

use super::node_parts::NodeParts;
use crate::admin::{NodeReport, PeerReport, UpstreamReport};
use crate::id::RequestRank;
use crate::peer::PeerMesh;

/// Builds the report that the admin server returns for `/state`.
pub(super) fn report(parts: &Arc<NodeParts>) -> NodeReport {
    let tables = parts.config.current();
    let (owners, residency) = (parts.view.owners(), parts.view.residency());
    let upstreams = tables.pools.upstreams().map(|(pool, row)| {
        let known = residency.upstream(&row.name);
        let queued = known.map_or([0; 3], |known| known.queued);
        UpstreamReport {
            name: row.name.to_string(),
            pool: pool.name.clone(),
            owner: owners.owner(&row.name).map(ToString::to_string),
            epoch: known
                .map(|known| known.epoch.to_string())
                .unwrap_or_default(),
            is_healthy: known.is_some_and(|known| known.is_healthy),
            running: known.map_or(0, |known| known.running),
            queued: RequestRank::ALL
                .iter()
                .map(|rank| (rank.to_string(), queued[rank.index()]))
                .collect::<BTreeMap<_, _>>(),
            resident: known
                .map(|known| known.adapters.iter().map(ToString::to_string).collect())
                .unwrap_or_default(),
        }
    });
    let upstreams = upstreams.collect();
    let peers = parts.mesh().map(PeerMesh::live_peers).unwrap_or_default();
    let peers = peers.into_iter().map(|peer| PeerReport {
        instance: peer.id.to_string(),
        domain: peer.domain.to_string(),
        silent_ms: u64::try_from(peer.silent_for.as_millis()).unwrap_or(u64::MAX),
    });
    NodeReport {
        instance: parts.instance.to_string(),
        domain: parts.domain.to_string(),
        incarnation: parts.incarnation,
        revision: tables.revision,
        is_ready: tables.revision > 0 && !parts.request_tracker.is_draining(),
        is_draining: parts.request_tracker.is_draining(),
        in_progress: parts.request_tracker.in_progress() as u64,
        upstreams,
        peers: peers.collect(),
    }
}
