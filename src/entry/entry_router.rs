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

/// Parts of an answer that wait for a slow entry before the owner stops reading.
const CHUNK_QUEUE_LEN: usize = 32;

/// Lists the upstreams of a pool that an adapter may be placed on.
pub type CandidateSource =
    Box<dyn Fn(&str, Option<&AdapterRef>) -> Vec<PlacementCandidate> + Send + Sync>;
/// Finds the owner of an upstream.
pub type OwnerLookup = Box<dyn Fn(&UpstreamId) -> Option<InstanceId> + Send + Sync>;

/// Finds the upstream for a request and opens a call to its owner.
pub struct EntryRouter {
    /// This instance.
    pub instance: InstanceId,
    /// The failure domain of this instance.
    pub domain: DomainId,
    /// The clock of deadlines.
    pub clock: ClockSource,
    /// The policy of placement.
    pub policy: PlacementPolicy,
    /// Lists upstreams.
    pub candidates: CandidateSource,
    /// Finds owners.
    pub owner: OwnerLookup,
    /// The upstreams that this instance owns.
    pub registry: Arc<OwnerRegistry>,
    /// The links to other owners.
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
    /// Chooses an upstream; those that failed for this request come last.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Unavailable`] if no upstream of the pool takes work.
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

    /// Opens a call to the owner of an upstream.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Unavailable`] if nobody owns the upstream and the error of the link if
    /// its owner is not reached.
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
