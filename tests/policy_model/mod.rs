//! Model of one engine that checks every action of a scheduler against its invariants.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use comfreychute::id::{AdapterRef, CallerId, RequestId, RequestRank};
use comfreychute::policy::{
    EvictionRule, ScheduleAction, SchedulerConfig, UpstreamScheduler, WorkItem,
};

/// An event that a test sends to the scheduler.
///
/// The number of an event selects, modulo their count, one of the bids, loads, evictions or
/// requests to which the event can apply, unless the variant says otherwise.
#[derive(Debug, Clone)]
pub enum ModelEvent {
    Offer {
        rank: usize,
        adapter: usize,
        tokens: u32,
        timeout_ms: u64,
        is_exclusive: bool,
    },
    Grant(usize),
    LoadEnd(usize, bool),
    EvictEnd(usize, bool),
    Finish(usize),
    Withdraw(usize),
    Restart,
    Tick,
    /// Reports, for the adapter with the given index, the ends of a load and an eviction that are
    /// not in progress, and reports the end and the withdrawal of an unknown request.
    UnexpectedEnds(usize),
}

/// State of the engine that follows from the actions of the scheduler.
#[derive(Debug)]
pub struct EngineModel {
    scheduler: UpstreamScheduler,
    config: SchedulerConfig,
    now: Duration,
    next_request: u128,
    pub waiting: BTreeMap<RequestId, WorkItem>,
    running: BTreeMap<RequestId, WorkItem>,
    started: BTreeSet<RequestId>,
    resident: BTreeSet<AdapterRef>,
    loading: BTreeSet<AdapterRef>,
    evicting: BTreeSet<AdapterRef>,
    permits: BTreeMap<AdapterRef, Duration>,
    pub offered: usize,
    pub ended: usize,
}

pub fn small_config() -> SchedulerConfig {
    SchedulerConfig {
        slots: 3,
        max_running: 4,
        floors: [0.5, 0.25, 0.25],
        stall_weight: 0.5,
        load_time: Duration::from_millis(250),
        expected_load_rate: 0.25,
        permit_expiry: Duration::from_secs(1),
        token_time: Duration::from_millis(20),
        queue_limit: 16,
        eviction: EvictionRule::Popularity,
        recency_slots: 0,
        batch_hold: Duration::from_secs(2),
        bids_need_slot: true,
        headroom: 1,
        half_life: Duration::from_mins(1),
    }
}

pub fn adapter(index: usize) -> AdapterRef {
    AdapterRef::new(&format!("adapter-{index}"), "1").expect("the name is valid")
}

impl EngineModel {
    pub fn new(config: SchedulerConfig) -> Self {
        Self {
            scheduler: UpstreamScheduler::new(config.clone(), Duration::ZERO),
            config,
            now: Duration::ZERO,
            next_request: 0,
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            started: BTreeSet::new(),
            resident: BTreeSet::new(),
            loading: BTreeSet::new(),
            evicting: BTreeSet::new(),
            permits: BTreeMap::new(),
            offered: 0,
            ended: 0,
        }
    }

    pub fn advance(&mut self, step: Duration) {
        self.now += step;
    }

    pub fn feed(&mut self, event: &ModelEvent) {
        let now = self.now;
        match event {
            ModelEvent::Offer {
                rank,
                adapter: index,
                tokens,
                timeout_ms,
                is_exclusive,
            } => {
                self.next_request += 1;
                self.offered += 1;
                self.offer(WorkItem {
                    request: RequestId::from_u128(self.next_request),
                    adapter: (*index > 0).then(|| adapter(*index)),
                    caller: CallerId::from_name(&format!("caller-{}", index % 3)),
                    rank: RequestRank::ALL[*rank],
                    deadline: now + Duration::from_millis(*timeout_ms),
                    tokens: *tokens,
                    is_preemptible: index % 2 == 0,
                    is_exclusive: *is_exclusive,
                });
            }
            ModelEvent::Grant(choice) => {
                let bids = self.scheduler.bids(now);
                if let Some(bid) = pick(bids.iter(), *choice) {
                    self.permits.insert(bid.adapter.clone(), now);
                    let actions = self.scheduler.permit_granted(&bid.adapter, now);
                    self.check(actions);
                }
            }
            ModelEvent::LoadEnd(choice, is_ok) => {
                if let Some(adapter) = pick(self.loading.iter(), *choice).cloned() {
                    self.loading.remove(&adapter);
                    if *is_ok {
                        self.resident.insert(adapter.clone());
                    }
                    let actions = self.scheduler.load_finished(&adapter, *is_ok, now);
                    self.check(actions);
                }
            }
            ModelEvent::EvictEnd(choice, is_ok) => {
                if let Some(adapter) = pick(self.evicting.iter(), *choice).cloned() {
                    self.evicting.remove(&adapter);
                    if !*is_ok {
                        self.resident.insert(adapter.clone());
                    }
                    let actions = self.scheduler.evict_finished(&adapter, *is_ok, now);
                    self.check(actions);
                }
            }
            ModelEvent::Finish(choice) => {
                if let Some(request) = pick(self.running.keys(), *choice).copied() {
                    self.running.remove(&request);
                    self.ended += 1;
                    let actions = self.scheduler.finished(request, now);
                    self.check(actions);
                }
            }
            ModelEvent::Withdraw(choice) => {
                if let Some(request) = pick(self.waiting.keys(), *choice).copied() {
                    self.waiting.remove(&request);
                    self.ended += 1;
                    let actions = self.scheduler.withdrawn(request, now);
                    self.check(actions);
                }
            }
            ModelEvent::Restart => {
                self.resident.clear();
                self.loading.clear();
                self.evicting.clear();
                self.permits.clear();
                let actions = self.scheduler.restarted(now);
                self.check(actions);
            }
            ModelEvent::Tick => {
                let actions = self.scheduler.tick(now);
                self.check(actions);
            }
            ModelEvent::UnexpectedEnds(index) => self.send_unexpected_ends(*index),
        }
    }

    /// Serves all waiting and running requests until none is left, for at most 1,000 rounds.
    pub fn drain(&mut self) {
        for _ in 0..1_000 {
            if self.waiting.is_empty() && self.running.is_empty() {
                return;
            }
            self.advance(Duration::from_secs(1));
            self.feed(&ModelEvent::Tick);
            self.feed(&ModelEvent::Finish(0));
            self.feed(&ModelEvent::Grant(0));
            self.feed(&ModelEvent::EvictEnd(0, true));
            self.feed(&ModelEvent::LoadEnd(0, true));
        }
    }

    fn offer(&mut self, item: WorkItem) {
        self.waiting.insert(item.request, item.clone());
        let actions = self.scheduler.offer(item, self.now);
        self.check(actions);
    }

    fn send_unexpected_ends(&mut self, index: usize) {
        let name = adapter(index);
        let now = self.now;
        if !self.loading.contains(&name) {
            let actions = self.scheduler.load_finished(&name, true, now);
            self.check(actions);
        }
        if !self.evicting.contains(&name) {
            let actions = self.scheduler.evict_finished(&name, true, now);
            self.check(actions);
        }
        let unknown = RequestId::from_u128(u128::MAX);
        let mut actions = self.scheduler.finished(unknown, now);
        actions.extend(self.scheduler.withdrawn(unknown, now));
        self.check(actions);
    }

    fn check(&mut self, actions: Vec<ScheduleAction>) {
        for action in actions {
            match action {
                ScheduleAction::Dispatch(request) => self.check_dispatch(request),
                ScheduleAction::Evict(adapter) => {
                    assert!(
                        self.resident.remove(&adapter),
                        "evicts {adapter}, which is not resident"
                    );
                    assert!(
                        !self.is_in_use(&adapter),
                        "evicts {adapter}, which is in use"
                    );
                    self.evicting.insert(adapter);
                }
                ScheduleAction::Load(adapter) => {
                    let granted_at = self.permits.remove(&adapter);
                    let granted_at = granted_at.expect("loads without a permit");
                    assert!(
                        self.now <= granted_at + self.config.permit_expiry,
                        "loads {adapter} with an expired permit"
                    );
                    self.loading.insert(adapter);
                    let used = self.resident.len() + self.loading.len() + self.evicting.len();
                    assert!(used <= self.config.slots as usize, "{used} slots in use");
                }
                ScheduleAction::Preempt(request) => {
                    let item = self
                        .running
                        .remove(&request)
                        .expect("only a running request may be preempted");
                    assert!(item.is_preemptible && item.rank == RequestRank::Batch);
                    let actions = self.scheduler.finished(request, self.now);
                    self.check(actions);
                    self.offer(item);
                }
                ScheduleAction::Refuse { request, .. } => {
                    assert!(
                        self.waiting.remove(&request).is_some(),
                        "only a waiting request may be refused"
                    );
                    assert!(
                        !self.started.contains(&request),
                        "a request that ran is refused"
                    );
                    self.ended += 1;
                }
            }
        }
    }

    fn check_dispatch(&mut self, request: RequestId) {
        let item = self
            .waiting
            .remove(&request)
            .expect("only a waiting request may be dispatched");
        if let Some(adapter) = &item.adapter {
            assert!(self.resident.contains(adapter), "{adapter} is not resident");
        }
        assert!(
            !item.is_exclusive || self.running.is_empty(),
            "an exclusive request runs beside others"
        );
        assert!(
            self.running.values().all(|other| !other.is_exclusive),
            "a request runs beside an exclusive one"
        );
        self.running.insert(request, item);
        self.started.insert(request);
        assert!(self.running.len() <= self.config.max_running as usize);
    }

    fn is_in_use(&self, adapter: &AdapterRef) -> bool {
        self.running
            .values()
            .any(|item| item.adapter.as_ref() == Some(adapter))
    }
}

fn pick<T>(mut items: impl ExactSizeIterator<Item = T>, choice: usize) -> Option<T> {
    let count = items.len();
    (count > 0).then(|| items.nth(choice % count)).flatten()
}
