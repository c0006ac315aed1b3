use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::load_attempt::LoadAttempt;
use super::rank_queue::{RankQueues, queue_of};
use super::running_item::RunningItem;
use super::{AdmissionPolicy, ResidencyPolicy, ScheduleAction, SchedulerConfig, WorkItem};
use crate::error::ErrorKind;
use crate::id::{AdapterRef, RequestId, RequestRank};

/// Decides what one upstream runs, loads and evicts.
///
/// A state machine without I/O: its driver reports events with the current time and carries out the
/// returned actions. Events in an unexpected order are ignored.
#[derive(Debug, Clone)]
pub struct UpstreamScheduler {
    pub(super) config: SchedulerConfig,
    pub(super) queues: RankQueues,
    pub(super) running: BTreeMap<RequestId, RunningItem>,
    pub(super) running_by_rank: [u32; 3],
    pub(super) residency: ResidencyPolicy,
    pub(super) admission: AdmissionPolicy,
    pub(super) attempts: BTreeMap<AdapterRef, LoadAttempt>,
    preempted: BTreeSet<RequestId>,
}

impl UpstreamScheduler {
    /// Creates the scheduler of an upstream on which nothing runs and no adapter is resident.
    #[must_use]
    pub fn new(config: SchedulerConfig, _now: Duration) -> Self {
        Self {
            queues: RankQueues::default(),
            running: BTreeMap::new(),
            running_by_rank: [0; 3],
            residency: ResidencyPolicy::new(&config),
            admission: AdmissionPolicy::new(&config),
            attempts: BTreeMap::new(),
            preempted: BTreeSet::new(),
            config,
        }
    }

    /// Submits a request, which is dispatched, queued or refused.
    ///
    /// A request that is already queued or running is ignored. The remaining work of a preempted
    /// request may be offered under the same id after [`finished`](Self::finished); it is not
    /// refused for its deadline or a full queue.
    pub fn offer(&mut self, item: WorkItem, now: Duration) -> Vec<ScheduleAction> {
        let mut actions = Vec::new();
        let is_known = self.running.contains_key(&item.request)
            || self.queues.iter().any(|queue| queue.contains(item.request));
        if is_known {
            return actions;
        }
        let is_resumed = self.preempted.remove(&item.request);
        if !is_resumed {
            if let Some(adapter) = &item.adapter {
                self.residency.record_request(adapter, now);
            }
            if let Some(retry_after) = self.refusal(&item, now) {
                actions.push(ScheduleAction::Refuse {
                    request: item.request,
                    kind: ErrorKind::Overloaded,
                    retry_after,
                });
                return actions;
            }
        }
        self.admission.observe_size(item.tokens);
        queue_of(&mut self.queues, item.rank).push(item, is_resumed, now);
        self.advance(now, &mut actions);
        actions
    }

    /// Records a granted load permit; the load starts as soon as a slot is free.
    ///
    /// The permit is ignored if the adapter has a slot or no request waits for it.
    pub fn permit_granted(&mut self, adapter: &AdapterRef, now: Duration) -> Vec<ScheduleAction> {
        let mut actions = Vec::new();
        if self.residency.state(adapter).is_none() && self.has_waiting(adapter) {
            let attempt = self.attempts.entry(adapter.clone()).or_default();
            attempt.permit_until = Some(now + self.config.permit_expiry);
        }
        self.advance(now, &mut actions);
        actions
    }

    /// Records the end of a load.
    ///
    /// After two consecutive failed loads, the requests that wait for the adapter are refused, so
    /// that their entries can try another upstream.
    pub fn load_finished(
        &mut self,
        adapter: &AdapterRef,
        is_ok: bool,
        now: Duration,
    ) -> Vec<ScheduleAction> {
        let mut actions = Vec::new();
        if self.residency.end_load(adapter, is_ok, now) {
            self.record_load_end(adapter, is_ok, now, &mut actions);
        }
        self.advance(now, &mut actions);
        actions
    }

    /// Records the end of an eviction, successful or not.
    pub fn evict_finished(
        &mut self,
        adapter: &AdapterRef,
        is_ok: bool,
        now: Duration,
    ) -> Vec<ScheduleAction> {
        let mut actions = Vec::new();
        self.residency.end_evict(adapter, is_ok, now);
        self.advance(now, &mut actions);
        actions
    }

    /// Records the end of a dispatched request, whatever its outcome.
    pub fn finished(&mut self, request: RequestId, now: Duration) -> Vec<ScheduleAction> {
        let mut actions = Vec::new();
        if let Some(running) = self.running.remove(&request) {
            self.running_by_rank[running.item.rank.index()] -= 1;
            if let Some(adapter) = &running.item.adapter {
                self.residency.unpin(adapter, now);
            }
            if running.is_cancelled {
                // Bounded, because the driver may never offer the remaining work of a preempted
                // request.
                if self.preempted.len() >= self.config.queue_limit {
                    self.preempted.pop_first();
                }
                self.preempted.insert(request);
            } else {
                let took = now.saturating_sub(running.started_at);
                self.admission.observe_run(running.item.tokens, took);
            }
        }
        self.advance(now, &mut actions);
        actions
    }

    /// Drops a queued request whose caller disconnected; a dispatched request keeps running.
    pub fn withdrawn(&mut self, request: RequestId, now: Duration) -> Vec<ScheduleAction> {
        let mut actions = Vec::new();
        for queue in &mut self.queues {
            queue.remove(request);
        }
        self.advance(now, &mut actions);
        actions
    }

    /// Records that the engine restarted and lost its adapters.
    ///
    /// Dispatched requests count as running until the driver reports the end of each.
    pub fn restarted(&mut self, now: Duration) -> Vec<ScheduleAction> {
        let mut actions = Vec::new();
        self.residency.clear();
        self.attempts.clear();
        self.advance(now, &mut actions);
        actions
    }

    /// Records an adapter that is already resident on the engine, as observed after a change of
    /// owner.
    pub fn adopted(&mut self, adapter: &AdapterRef, now: Duration) -> Vec<ScheduleAction> {
        let mut actions = Vec::new();
        self.residency.adopt(adapter, now);
        self.advance(now, &mut actions);
        actions
    }

    /// Refuses queued requests that can no longer meet their deadline, and expires unused permits.
    pub fn tick(&mut self, now: Duration) -> Vec<ScheduleAction> {
        let mut actions = Vec::new();
        self.refuse_late(now, &mut actions);
        self.advance(now, &mut actions);
        actions
    }

    /// Returns the state of the adapter slots.
    #[must_use]
    pub const fn residency(&self) -> &ResidencyPolicy {
        &self.residency
    }

    /// Returns the number of dispatched requests that have not finished.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running_by_rank.iter().sum()
    }

    /// Returns the number of queued requests per rank, in the order of [`RequestRank::ALL`].
    #[must_use]
    pub fn queued(&self) -> [u32; 3] {
        RequestRank::ALL
            .map(|rank| u32::try_from(self.queues[rank.index()].len()).unwrap_or(u32::MAX))
    }

    /// Dispatches requests, evicts adapters and starts loads as far as the current state allows.
    fn advance(&mut self, now: Duration, actions: &mut Vec<ScheduleAction>) {
        self.dispatch_ready(now, actions);
        self.start_loads(now, actions);
    }
}
