use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use tokio::sync::mpsc;

use super::model_call::AVOID_THRESHOLD;
use super::{ResponseEvents, RoutedRequest};
use crate::error::{Error, ErrorKind, Result};
use crate::id::{AdapterRef, DomainId, InstanceId, UpstreamId};
use crate::owner::{OwnerCall, OwnerRegistry};
use crate::peer::PeerMesh;
use crate::policy::{PlacementCandidate, PlacementPolicy};
use crate::time::ClockSource;

/// Chunks buffered for a slow response relay before a local owner stops reading from the upstream.
const CHUNK_QUEUE_LEN: usize = 32;

/// Returns the placement candidates of a pool for an adapter, or for a plain service if the adapter
/// is `None`.
pub type CandidateSource =
    Box<dyn Fn(&str, Option<&AdapterRef>) -> Vec<PlacementCandidate> + Send + Sync>;
/// Returns the current owner of an upstream.
pub type OwnerLookup = Box<dyn Fn(&UpstreamId) -> Option<InstanceId> + Send + Sync>;

/// Selects the upstream for a request and opens a call to its owner.
pub struct EntryRouter {
    /// The name of this instance; calls to its own upstreams bypass the mesh.
    pub instance: InstanceId,
    /// The failure domain of this instance, whose upstreams are preferred.
    pub domain: DomainId,
    /// The clock that deadlines are measured with.
    pub clock: ClockSource,
    /// Chooses among the placement candidates.
    pub policy: PlacementPolicy,
    /// Lists the placement candidates of a request.
    pub candidates: CandidateSource,
    /// Looks up the owner of the chosen upstream.
    pub owner: OwnerLookup,
    /// Runs calls to the upstreams that this instance owns.
    pub registry: Arc<OwnerRegistry>,
    /// Forwards calls to owners on other instances.
    pub mesh: PeerMesh,
}

impl fmt::Debug for EntryRouter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EntryRouter")
            .field("instance", &self.instance)
            .finish_non_exhaustive()
    }
}

impl EntryRouter {
    /// Chooses an upstream for a request.
    ///
    /// Upstreams whose `failures` for this request reach the threshold are chosen only if no other
    /// candidate is available.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Unavailable`] if no upstream of the pool accepts requests.
    pub fn place(
        &self,
        routed: &RoutedRequest,
        failures: &BTreeMap<UpstreamId, u32>,
    ) -> Result<UpstreamId> {
        let all = (self.candidates)(&routed.pool, routed.adapter.as_ref());
        let is_preferred = |candidate: &&PlacementCandidate| {
            failures
                .get(&candidate.upstream)
                .is_none_or(|failures| *failures < AVOID_THRESHOLD)
        };
        let preferred: Vec<PlacementCandidate> = all.iter().filter(is_preferred).cloned().collect();
        let choose = |candidates: &[PlacementCandidate]| {
            let mut random = rand::rng();
            self.policy
                .choose(
                    routed.adapter.as_ref(),
                    routed.rank,
                    &self.domain,
                    candidates,
                    &mut random,
                )
                .cloned()
        };
        choose(&preferred).or_else(|| choose(&all)).ok_or_else(|| {
            Error::new(
                ErrorKind::Unavailable,
                format!("pool {}: no upstream takes work", routed.pool),
            )
            .with_retry_after(std::time::Duration::from_secs(1))
        })
    }

    /// Opens a call to the owner of an upstream; the response starts at the token `from_token`.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Unavailable`] if the upstream has no owner, the errors of
    /// [`PeerMesh::open_call`] if its owner is a peer, and those of [`OwnerCall::from_open`] if its
    /// owner is this instance.
    pub async fn open(
        &self,
        routed: &RoutedRequest,
        upstream: &UpstreamId,
        attempt: u32,
        from_token: u64,
    ) -> Result<ResponseEvents> {
        let Some(owner) = (self.owner)(upstream) else {
            return Err(Error::new(
                ErrorKind::Unavailable,
                format!("upstream {upstream} has no owner"),
            ));
        };
        let now = self.clock.now();
        let open = routed.to_open(upstream.as_str(), attempt, from_token, now);
        if owner != self.instance {
            return self
                .mesh
                .open_call(&owner, open)
                .await
                .map(ResponseEvents::Remote);
        }
        let (sender, receiver) = mpsc::channel(CHUNK_QUEUE_LEN);
        self.registry
            .submit(OwnerCall::from_open(open, sender, now)?);
        Ok(ResponseEvents::Local(receiver))
    }
}
