//! Connects the permit holder and the permit client to the peer mesh and the membership.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;

use super::node_parts::NodeParts;
use crate::error::{Error, ErrorKind, Result};
use crate::id::{DomainId, InstanceId};
use crate::peer::{PeerReply, PeerRequest, PermitBid, PermitGrant, PermitRelease, ask, reply};
use crate::permit::{ClientConfig, ClientHooks, PermitClient, counted_domains};
use crate::table::TableSet;

/// Key with which the holder of all load permits is elected.
const PERMIT_HOLDER_KEY: &str = "loads";

/// Builds the permit client, which calls the local endpoint if this instance is the holder.
pub(super) fn permit_client(parts: &Arc<NodeParts>) -> PermitClient {
    let (holder_parts, bid_parts, release_parts) =
        (Arc::clone(parts), Arc::clone(parts), Arc::clone(parts));
    let hooks = ClientHooks::new(
        move || holder(&holder_parts),
        move |holder, bid| {
            let parts = Arc::clone(&bid_parts);
            async move { send_bid(&parts, &holder, bid).await }.boxed()
        },
        move |holder, release| {
            let parts = Arc::clone(&release_parts);
            async move { send_release(&parts, &holder, release).await }.boxed()
        },
    );
    PermitClient::new(ClientConfig::default(), hooks, parts.timer.clock().clone())
}

/// Updates the local permit holder with the weight stores, its share of the failure domains and
/// whether it is elected.
pub(super) fn update_permit_holder(parts: &NodeParts, tables: &TableSet, now: Duration) {
    let total: BTreeSet<&DomainId> = tables
        .pools
        .upstreams()
        .map(|(_, upstream)| &upstream.domain)
        .collect();
    let reachable = parts.view.members().reachable_domains(now);
    let counted = counted_domains(
        &parts.domain,
        &reachable,
        &parts.view.reachability_reports(),
    );
    let total = u32::try_from(total.len()).unwrap_or(u32::MAX).max(1);
    let is_holding = holder(parts).as_ref() == Some(&parts.instance);
    parts.permits.update(|endpoint, now| {
        endpoint.set_stores(&tables.pools.stores, now);
        endpoint.set_domain_share(counted.min(total), total, now);
        endpoint.set_holding(is_holding, now);
    });
}

fn holder(parts: &NodeParts) -> Option<InstanceId> {
    let now = parts.timer.clock().now();
    parts.view.members().permit_holder(PERMIT_HOLDER_KEY, now)
}

async fn send_bid(parts: &NodeParts, holder: &InstanceId, bid: PermitBid) -> Result<PermitGrant> {
    if *holder == parts.instance {
        return parts.permits.bid(&bid).await;
    }
    match send(parts, holder, ask::Body::Bid(bid)).await?.body {
        Some(reply::Body::Grant(grant)) => Ok(grant),
        Some(reply::Body::Refused(refusal)) => Err(refusal.to_error()),
        _ => Err(Error::new(
            ErrorKind::Protocol,
            "the reply to a bid has no grant",
        )),
    }
}

async fn send_release(
    parts: &NodeParts,
    holder: &InstanceId,
    release: PermitRelease,
) -> Result<()> {
    if *holder == parts.instance {
        parts.permits.release(&release);
        return Ok(());
    }
    send(parts, holder, ask::Body::Done(release))
        .await
        .map(drop)
}

async fn send(parts: &NodeParts, holder: &InstanceId, body: ask::Body) -> Result<PeerReply> {
    let Some(mesh) = parts.mesh() else {
        return Err(Error::new(ErrorKind::Peer, "the mesh has not started"));
    };
    mesh.request(holder, PeerRequest { body: Some(body) }).await
}
