//! Connects the upstream owners to membership, permits and the peer mesh.

use std::sync::Arc;

use super::epoch_lookup::EpochLookup;
use super::node_parts::NodeParts;
use super::permit_wiring::permit_client;
use crate::owner::{HandoverAnnouncer, OwnerContext};
use crate::peer::{HandoverItem, OwnerHandover, PeerRequest, ask};

/// Builds the context that the owners of all upstreams share.
pub(super) fn owner_context(parts: &Arc<NodeParts>) -> OwnerContext {
    let process = format!("{}#{}", parts.instance, parts.incarnation);
    let lookup = EpochLookup::new(
        process.clone(),
        Arc::clone(&parts.view),
        Arc::clone(&parts.ledger),
        parts.timer.clock().clone(),
    );
    let broadcast_parts = Arc::clone(parts);
    OwnerContext {
        instance: parts.instance.clone(),
        process,
        max_queued: usize::try_from(parts.settings.limits.max_queued_requests)
            .unwrap_or(usize::MAX),
        timer: parts.timer.clone(),
        lease: parts.lease.clone(),
        ledger: Arc::clone(&parts.ledger),
        recorder: parts.recorder.clone(),
        permits: permit_client(parts),
        audit: parts.audit.clone(),
        suspects: Arc::clone(&parts.suspects),
        broadcast_suspects: Box::new(move || {
            if let Some(mesh) = broadcast_parts.mesh() {
                mesh.send_heartbeat();
            }
        }),
        metrics: parts.metrics.clone(),
        epoch_status: Box::new(move |upstream, epoch| lookup.epoch_status(upstream, epoch)),
    }
}

/// Builds the function that announces handovers to peers.
pub(super) fn handover_announcer(parts: &Arc<NodeParts>) -> HandoverAnnouncer {
    let parts = Arc::clone(parts);
    Box::new(move |item| {
        let parts = Arc::clone(&parts);
        Box::pin(async move { announce(&parts, item).await })
    })
}

/// Sends a handover to all live peers in the failure domain of this instance and returns whether
/// all of them acknowledged it.
async fn announce(parts: &NodeParts, item: HandoverItem) -> bool {
    let Some(mesh) = parts.mesh() else {
        return true;
    };
    let requests = mesh
        .live_peers()
        .into_iter()
        .filter(|peer| peer.domain == parts.domain)
        .map(|peer| {
            let handover = OwnerHandover {
                items: vec![item.clone()],
            };
            async move {
                mesh.request(
                    &peer.id,
                    PeerRequest {
                        body: Some(ask::Body::Handover(handover)),
                    },
                )
                .await
                .is_ok()
            }
        });
    futures_util::future::join_all(requests)
        .await
        .into_iter()
        .all(|is_ok| is_ok)
}
