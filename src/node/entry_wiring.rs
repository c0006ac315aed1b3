//! Connects the request entry to placement, claims and the peer mesh.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::node_parts::NodeParts;
use crate::claim::{ClaimConfig, ClaimHooks, ClaimStorage, ClaimStore};
use crate::entry::{EntryContext, EntryRouter};
use crate::owner::OwnerRegistry;
use crate::peer::PeerMesh;
use crate::policy::{PlacementPolicy, RetryBudget};

/// Retries that each request adds to the budget. Together with the reserve, this limits upstream
/// calls to 1.1 times the requests once 300 requests have been made.
const RETRY_RATIO: f64 = 0.09;
/// Retries that are available regardless of traffic, for instances with few requests.
const RETRY_RESERVE: f64 = 3.0;
/// Maximum balance of the budget, which bounds a burst of retries.
const RETRY_BURST: f64 = 10.0;
/// Half-life of the unused retry balance.
const RETRY_HALF_LIFE: Duration = Duration::from_secs(10);

/// Builds the context that all request handlers share.
pub(super) fn entry_context(
    parts: &Arc<NodeParts>,
    registry: Arc<OwnerRegistry>,
    mesh: PeerMesh,
) -> EntryContext {
    let clock = parts.timer.clock().clone();
    let (candidate_parts, owner_parts) = (Arc::clone(parts), Arc::clone(parts));
    let router = EntryRouter {
        instance: parts.instance.clone(),
        domain: parts.domain.clone(),
        clock: clock.clone(),
        policy: PlacementPolicy::default(),
        candidates: Box::new(move |pool, adapter| {
            candidate_parts
                .view
                .candidates(&candidate_parts.config.current(), pool, adapter)
        }),
        owner: Box::new(move |upstream| owner_parts.view.owner(upstream)),
        registry,
        mesh,
    };
    EntryContext {
        instance: parts.instance.clone(),
        retry_budget: Mutex::new(
            RetryBudget::new(RETRY_RATIO, RETRY_BURST, RETRY_HALF_LIFE, clock.now())
                .with_reserve(RETRY_RESERVE),
        ),
        clock,
        config: parts.config.clone(),
        router,
        claims: claim_store(parts),
        request_tracker: parts.request_tracker.clone(),
        metrics: parts.metrics.clone(),
        max_body: parts.settings.limits.max_body,
        max_in_progress: usize::try_from(parts.settings.limits.max_open_calls)
            .unwrap_or(usize::MAX),
    }
}

fn claim_store(parts: &Arc<NodeParts>) -> ClaimStore {
    let hook_parts = Arc::clone(parts);
    let storage = ClaimStorage::from_store(&parts.store);
    let hooks = ClaimHooks::new(move |instance, incarnation| {
        if *instance == hook_parts.instance {
            return incarnation == hook_parts.incarnation;
        }
        let peers = hook_parts
            .mesh()
            .map(PeerMesh::live_peers)
            .unwrap_or_default();
        peers
            .iter()
            .any(|peer| peer.id == *instance && peer.incarnation == incarnation)
    });
    ClaimStore::new(storage, ClaimConfig::default(), hooks, parts.incarnation)
}
