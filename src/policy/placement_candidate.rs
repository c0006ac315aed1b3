use crate::id::{DomainId, UpstreamId};

/// State of an upstream, as known to an entry that places a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementCandidate {
    /// The upstream that the state belongs to.
    pub upstream: UpstreamId,
    /// Failure domain of the upstream; only upstreams of reachable domains are candidates.
    pub domain: DomainId,
    /// Whether the requested adapter is resident or loading there.
    pub is_resident: bool,
    /// Estimated number of running requests.
    pub running: u32,
    /// Estimated number of queued requests per rank, in the order of
    /// [`RequestRank::ALL`](crate::id::RequestRank::ALL).
    pub queued: [u32; 3],
    /// Maximum number of requests that it runs concurrently.
    pub max_running: u32,
    /// Whether both the upstream and its owner respond.
    pub is_healthy: bool,
    /// Whether it accepts new requests.
    pub is_active: bool,
}

impl PlacementCandidate {
    /// Returns the number of requests that run or are queued ahead of a request of the rank,
    /// divided by `max_running`.
    #[must_use]
    pub fn load(&self, rank: crate::id::RequestRank) -> f64 {
        let ahead: u32 = self.queued.iter().take(rank.index() + 1).sum();
        f64::from(self.running.saturating_add(ahead)) / f64::from(self.max_running.max(1))
    }
}
