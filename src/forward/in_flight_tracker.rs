use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use super::ModelRef;
use crate::id::{InstanceId, UpstreamId};
use crate::peer::{AdapterUsage, InFlightItem, LoadGossip};

/// The load of the requests that are in flight at one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct InFlightLoad {
    /// Number of requests that were sent and have not completed.
    pub requests: u32,
    /// Prompt tokens of requests whose first event has not arrived.
    pub prompt_tokens: u32,
    /// KV cache tokens that the requests occupy when they complete.
    pub memory_tokens: u32,
}

impl InFlightLoad {
    fn add(&mut self, other: &Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.prompt_tokens = self.prompt_tokens.saturating_add(other.prompt_tokens);
        self.memory_tokens = self.memory_tokens.saturating_add(other.memory_tokens);
    }

    fn subtract(&mut self, other: &Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.prompt_tokens = self.prompt_tokens.saturating_sub(other.prompt_tokens);
        self.memory_tokens = self.memory_tokens.saturating_sub(other.memory_tokens);
    }
}

/// Tracks the load that this instance and its peers have in flight at each upstream.
#[derive(Debug, Default)]
pub struct InFlightTracker {
    state: Mutex<TrackerState>,
}

#[derive(Debug, Default)]
struct TrackerState {
    own: BTreeMap<UpstreamId, InFlightLoad>,
    peers: BTreeMap<InstanceId, PeerLoadReport>,
    uses: BTreeMap<(UpstreamId, ModelRef), AdapterUse>,
}

/// This instance's requests for one adapter at one upstream.
#[derive(Debug, Default)]
struct AdapterUse {
    /// Requests started since the last report to the owner.
    count: u32,
    /// Requests in flight.
    running: u32,
}

/// The latest load report of a peer, which may include the load of other instances.
#[derive(Debug)]
struct PeerLoadReport {
    loads: BTreeMap<UpstreamId, InFlightLoad>,
    /// Number of instances whose load is included.
    instances: usize,
    /// Whether the peer is a child in the gossip tree, so that this instance forwards its load.
    is_child: bool,
    received_at: Duration,
}

impl PeerLoadReport {
    fn is_live(&self, now: Duration) -> bool {
        now.saturating_sub(self.received_at) < REPORT_EXPIRY
    }
}

/// Age after which a peer's load no longer counts; several gossip intervals.
const REPORT_EXPIRY: Duration = Duration::from_secs(2);

impl InFlightTracker {
    /// Creates a tracker without requests in flight.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request that is about to be sent.
    pub fn begin(&self, upstream: &UpstreamId, load: &InFlightLoad) {
        let mut state = self.lock();
        state.own.entry(upstream.clone()).or_default().add(load);
    }

    /// Subtracts all or part of a load that [`begin`](Self::begin) counted.
    pub fn end(&self, upstream: &UpstreamId, load: &InFlightLoad) {
        let mut state = self.lock();
        if let Some(own) = state.own.get_mut(upstream) {
            own.subtract(load);
            if *own == InFlightLoad::default() {
                state.own.remove(upstream);
            }
        }
    }

    /// Counts a request for an adapter that is about to be sent. The counts are reported to the
    /// owner of the upstream.
    pub fn begin_adapter_use(&self, upstream: &UpstreamId, model: &ModelRef) {
        let mut state = self.lock();
        let key = (upstream.clone(), model.clone());
        let entry = state.uses.entry(key).or_default();
        entry.count += 1;
        entry.running += 1;
    }

    /// Counts a request for an adapter as completed.
    pub fn end_adapter_use(&self, upstream: &UpstreamId, model: &ModelRef) {
        let key = (upstream.clone(), model.clone());
        if let Some(entry) = self.lock().uses.get_mut(&key) {
            entry.running = entry.running.saturating_sub(1);
        }
    }

    /// Returns the load that this instance alone has in flight.
    #[must_use]
    pub fn own_load(&self, upstream: &UpstreamId) -> InFlightLoad {
        self.lock().own.get(upstream).copied().unwrap_or_default()
    }

    /// Returns the load that this instance and all peers with a recent report have in flight.
    #[must_use]
    pub fn total_load(&self, upstream: &UpstreamId, now: Duration) -> InFlightLoad {
        let state = self.lock();
        let mut total = state.own.get(upstream).copied().unwrap_or_default();
        for report in state.peers.values() {
            if report.is_live(now)
                && let Some(load) = report.loads.get(upstream)
            {
                total.add(load);
            }
        }
        total
    }

    /// Returns the requests that peers with a recent report have in flight, and the mean age of
    /// their reports, weighted by these requests.
    #[must_use]
    pub fn peer_requests(&self, upstream: &UpstreamId, now: Duration) -> (u32, Duration) {
        let state = self.lock();
        let (mut requests, mut age_s) = (0_u32, 0.0);
        for report in state.peers.values() {
            if report.is_live(now)
                && let Some(load) = report.loads.get(upstream)
            {
                requests = requests.saturating_add(load.requests);
                let age = now.saturating_sub(report.received_at);
                age_s += f64::from(load.requests) * age.as_secs_f64();
            }
        }
        let mean = Duration::from_secs_f64(age_s / f64::from(requests.max(1)));
        (requests, mean)
    }

    /// Records the load that a peer reports, in place of its former report.
    pub fn record_peer_load(&self, peer: &InstanceId, gossip: &LoadGossip, now: Duration) {
        let loads = gossip
            .in_flight
            .iter()
            .map(|item| {
                let load = InFlightLoad {
                    requests: item.requests,
                    prompt_tokens: item.prompt_tokens,
                    memory_tokens: item.memory_tokens,
                };
                (UpstreamId::from_name(&item.upstream), load)
            })
            .collect();
        let report = PeerLoadReport {
            loads,
            instances: usize::try_from(gossip.instances)
                .unwrap_or(usize::MAX)
                .max(1),
            is_child: gossip.is_child,
            received_at: now,
        };
        self.lock().peers.insert(peer.clone(), report);
    }

    /// Returns the children in the gossip tree: the peers whose load this instance forwards.
    #[must_use]
    pub fn children(&self, now: Duration) -> BTreeSet<InstanceId> {
        let state = self.lock();
        let children = state.peers.iter();
        let children = children.filter(|(_, report)| report.is_child && report.is_live(now));
        children.map(|(peer, _)| peer.clone()).collect()
    }

    /// Returns the number of instances whose load was received recently, including this one.
    #[must_use]
    pub fn live_instance_count(&self, now: Duration) -> usize {
        let state = self.lock();
        let live = state.peers.values().filter(|report| report.is_live(now));
        live.fold(1, |sum, report| sum.saturating_add(report.instances))
    }

    /// Returns the sum of the loads of this instance and of the peers for which `is_included`
    /// holds, and the number of instances that it covers.
    #[must_use]
    pub fn sum_load(
        &self,
        now: Duration,
        is_included: impl Fn(&InstanceId) -> bool,
    ) -> (Vec<InFlightItem>, u32) {
        let state = self.lock();
        let mut sum = state.own.clone();
        let mut instances = 1_usize;
        let included = state.peers.iter();
        let included = included.filter(|(peer, report)| report.is_live(now) && is_included(peer));
        for (_, report) in included {
            instances = instances.saturating_add(report.instances);
            for (upstream, load) in &report.loads {
                sum.entry(upstream.clone()).or_default().add(load);
            }
        }
        let to_item = |(upstream, load): (&UpstreamId, &InFlightLoad)| InFlightItem {
            upstream: upstream.as_str().to_owned(),
            requests: load.requests,
            prompt_tokens: load.prompt_tokens,
            memory_tokens: load.memory_tokens,
        };
        let items = sum.iter().map(to_item).collect();
        (items, u32::try_from(instances).unwrap_or(u32::MAX))
    }

    /// Returns the adapters in use and those used since the last call, and resets their counts.
    #[must_use]
    pub fn take_adapter_uses(&self) -> Vec<AdapterUsage> {
        let mut state = self.lock();
        let items = state
            .uses
            .iter_mut()
            .map(|((upstream, model), adapter_use)| AdapterUsage {
                upstream: upstream.as_str().to_owned(),
                adapter: model.to_string(),
                count: std::mem::take(&mut adapter_use.count),
                running: adapter_use.running,
            })
            .collect();
        state.uses.retain(|_, adapter_use| adapter_use.running > 0);
        items
    }

    fn lock(&self) -> MutexGuard<'_, TrackerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
