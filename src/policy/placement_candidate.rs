use crate::id::{DomainId, UpstreamId};

/// An upstream as an entry sees it when it places a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementCandidate {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The failure domain that it stands in; only reachable ones are candidates.
    pub domain: DomainId,
    /// Whether the wanted adapter is resident or loading there.
    pub is_resident: bool,
    /// The estimated number of requests that run.
    pub running: u32,
    /// The estimated number of requests that wait, by rank.
    pub queued: [u32; 3],
    /// The number of requests that it runs side by side.
    pub max_running: u32,
    /// Whether its owner and the upstream answer.
    pub is_healthy: bool,
    /// Whether it takes new work.
    pub is_active: bool,
}

impl PlacementCandidate {
    /// Returns the requests that run or wait before a request of the rank, per place of the batch.
    #[must_use]
    pub fn load(&self, rank: crate::id::RequestRank) -> f64 {
        let ahead: u32 = self.queued.iter().take(rank.index() + 1).sum();
        f64::from(self.running.saturating_add(ahead)) / f64::from(self.max_running.max(1))
    }
}
