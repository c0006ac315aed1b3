use std::collections::BTreeSet;
use std::time::Duration;

use comfreychute::id::{DomainId, UpstreamId};
use comfreychute::policy::{LoadEstimate, PlacementCandidate, SlotState};

use crate::SitePlan;
use crate::fleet_worker::FleetWorker;

/// Time between heartbeats, which is the lag of the entries' view.
pub(crate) const HEARTBEAT: Duration = Duration::from_millis(500);

/// What the entries know of the workers: the last heartbeat and their own placements since.
#[derive(Debug)]
pub(crate) struct FleetView {
    candidates: Vec<PlacementCandidate>,
    residents: Vec<BTreeSet<String>>,
    /// Estimates by entry, then worker.
    estimates: Vec<Vec<LoadEstimate>>,
}

impl FleetView {
    pub(crate) fn new(site: &SitePlan) -> Self {
        let candidates = site
            .pool
            .upstreams
            .iter()
            .map(|row| PlacementCandidate {
                upstream: row.name.clone(),
                domain: row.domain.clone(),
                is_resident: false,
                running: 0,
                queued: [0; 3],
                max_running: site.pool.max_running,
                is_healthy: true,
                is_active: true,
            })
            .collect();
        let estimate = LoadEstimate::new(Duration::from_millis(50));
        Self {
            candidates,
            residents: vec![BTreeSet::new(); site.workers],
            estimates: vec![vec![estimate; site.workers]; site.entries],
        }
    }

    /// Takes a heartbeat of a worker's owner.
    pub(crate) fn refresh(&mut self, index: usize, worker: &FleetWorker, now: Duration) {
        let candidate = &mut self.candidates[index];
        candidate.queued = worker.scheduler.queued();
        let running = worker.scheduler.running();
        self.residents[index] = worker
            .scheduler
            .residency()
            .adapters()
            .filter(|(_, state)| *state != SlotState::Evicting)
            .map(|(adapter, _)| adapter.to_string())
            .collect();
        for estimates in &mut self.estimates {
            estimates[index].report(running, now);
        }
    }

    /// Returns the workers that an entry may choose, as it sees them.
    pub(crate) fn candidates(
        &self,
        entry: usize,
        adapter: &str,
        is_reachable: impl Fn(usize) -> bool,
    ) -> Vec<PlacementCandidate> {
        self.candidates
            .iter()
            .enumerate()
            .filter(|(worker, _)| is_reachable(*worker))
            .map(|(worker, candidate)| PlacementCandidate {
                is_resident: self.residents[worker].contains(adapter),
                running: self.estimates[entry][worker].requests(),
                ..candidate.clone()
            })
            .collect()
    }

    pub(crate) fn placed(&mut self, entry: usize, worker: usize, now: Duration) {
        self.estimates[entry][worker].dispatched(now);
    }

    pub(crate) fn worker_of(&self, upstream: &UpstreamId) -> Option<usize> {
        self.candidates
            .iter()
            .position(|candidate| candidate.upstream == *upstream)
    }
}

/// Returns the failure domain of an entry.
pub(crate) fn entry_domain(site: &SitePlan, entry: usize) -> (usize, DomainId) {
    let domain = entry % site.domains;
    (domain, DomainId::from_name(&format!("domain-{domain}")))
}
