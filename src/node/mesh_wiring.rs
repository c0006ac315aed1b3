//! The hooks through which the peer mesh calls the other parts of the node.

use std::sync::{Arc, PoisonError};

use super::call_forwarder::forward_call;
use super::node_parts::NodeParts;
use crate::error::{Error, ErrorKind};
use crate::id::{InstanceId, OwnerEpoch, UpstreamId};
use crate::peer::{
    HeartbeatBody, MeshHooks, OwnerHandover, PeerChange, PeerReply, PeerRequest, RefusalBody, ask,
    reply,
};
use crate::telemetry::{LogEvent, LogName};

pub(super) fn mesh_hooks(parts: &Arc<NodeParts>) -> MeshHooks {
    let (heartbeat_parts, received_parts, call_parts, request_parts, change_parts) = (
        Arc::clone(parts),
        Arc::clone(parts),
        Arc::clone(parts),
        Arc::clone(parts),
        Arc::clone(parts),
    );
    MeshHooks {
        heartbeat: Box::new(move || heartbeat(&heartbeat_parts)),
        on_heartbeat: Box::new(move |peer, body| on_heartbeat(&received_parts, peer, &body)),
        on_call: Box::new(move |_, open, sink| {
            let parts = Arc::clone(&call_parts);
            tokio::spawn(async move { forward_call(&parts, open, sink).await });
        }),
        on_request: Box::new(move |_, request| {
            let parts = Arc::clone(&request_parts);
            Box::pin(async move { handle_request(&parts, request).await })
        }),
        on_peer_change: Box::new(move |change| {
            log_change(&change);
            change_parts
                .view
                .members()
                .apply_change(&change, change_parts.timer.clock().now());
        }),
    }
}

fn heartbeat(parts: &NodeParts) -> HeartbeatBody {
    let now = parts.timer.clock().now();
    let suspects = parts
        .suspects
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .local_counts(now);
    let reachable = parts.view.members().reachable_domains(now);
    HeartbeatBody {
        revision: parts.config.revision(),
        is_draining: parts.request_tracker.is_draining(),
        residency: parts
            .registry()
            .map(|registry| registry.residency())
            .unwrap_or_default(),
        suspects,
        reachable: reachable.iter().map(ToString::to_string).collect(),
        ..HeartbeatBody::default()
    }
}

fn on_heartbeat(parts: &NodeParts, peer: &InstanceId, body: &HeartbeatBody) {
    parts.view.apply_heartbeat(peer, body);
    if !body.suspects.is_empty() {
        let now = parts.timer.clock().now();
        let mut suspects = parts
            .suspects
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        suspects.merge(peer, &body.suspects, now);
    }
}

async fn handle_request(parts: &NodeParts, request: PeerRequest) -> PeerReply {
    let body = match request.body {
        Some(ask::Body::Pull(pull)) => reply::Body::Delta(parts.config.delta_for(&pull)),
        Some(ask::Body::Bid(bid)) => match parts.permits.bid(&bid).await {
            Ok(grant) => reply::Body::Grant(grant),
            Err(error) => reply::Body::Refused(RefusalBody::from_error(&error)),
        },
        Some(ask::Body::Done(release)) => {
            parts.permits.release(&release);
            reply::Body::Done(true)
        }
        Some(ask::Body::Handover(handover)) => {
            record_handover(parts, &handover);
            reply::Body::Done(true)
        }
        Some(ask::Body::Want(_) | ask::Body::Share(_) | ask::Body::Changes(_)) | None => {
            let error = Error::new(
                ErrorKind::Protocol,
                "the question has no content that this version knows",
            );
            reply::Body::Refused(RefusalBody::from_error(&error))
        }
    };
    PeerReply { body: Some(body) }
}

fn record_handover(parts: &NodeParts, handover: &OwnerHandover) {
    for item in &handover.items {
        let upstream = UpstreamId::from_name(&item.upstream);
        parts.ledger.record(
            &upstream,
            OwnerEpoch::from_u64(item.epoch),
            item.is_released,
        );
    }
}

fn log_change(change: &PeerChange) {
    let (name, peer, reason) = match change {
        PeerChange::Joined(peer) => (LogName::PeerConnected, &peer.instance, "joined"),
        PeerChange::Replaced { now, .. } => (LogName::PeerConnected, &now.instance, "replaced"),
        PeerChange::Refused(peer) => (LogName::PeerDead, peer, "its address refuses connections"),
        PeerChange::Silent(peer) => (LogName::PeerDead, peer, "silent"),
        PeerChange::Draining(_) => return,
    };
    LogEvent::new(name)
        .with("peer", peer)
        .with("reason", reason)
        .send();
}
