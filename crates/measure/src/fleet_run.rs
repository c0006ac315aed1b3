use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;

use comfreychute::id::{AdapterRef, CallerId, RequestId};
use comfreychute::policy::{PlacementPolicy, ScheduleAction, UpstreamScheduler, WorkItem};

use crate::baseline_placement::{highest_score, least_loaded};
use crate::event_queue::EventQueue;
use crate::fleet_event::FleetEvent;
use crate::fleet_holders::FleetHolders;
use crate::fleet_view::{FleetView, HEARTBEAT, entry_domain};
use crate::fleet_worker::FleetWorker;
use crate::request_state::RequestState;
use crate::run_record::RunRecord;
use crate::site_plan::{MEAN_TOKENS, as_f64};
use crate::store_fake::StoreFake;
use crate::traffic_source::TrafficSource;
use crate::{FaultKind, PolicyKind, RunFigures, ScenarioPlan, SitePlan};

/// Latency between a caller and an entry.
const CLIENT: Duration = Duration::from_millis(1);

/// Time that an engine takes to evict an adapter.
const EVICT: Duration = Duration::from_millis(5);

/// Time between ticks of the schedulers.
const TICK: Duration = Duration::from_millis(100);

/// One scenario under one policy, in virtual time.
#[derive(Debug)]
pub struct FleetRun<'a> {
    site: &'a SitePlan,
    plan: &'a ScenarioPlan,
    policy: PolicyKind,
    placement: PlacementPolicy,
    random: StdRng,
    events: EventQueue,
    traffic: TrafficSource<'a>,
    requests: Vec<RequestState>,
    adapters: Vec<AdapterRef>,
    indexes: BTreeMap<AdapterRef, usize>,
    callers: Vec<CallerId>,
    workers: Vec<FleetWorker>,
    view: FleetView,
    holders: FleetHolders,
    store: StoreFake,
    record: RunRecord<'a>,
    open: usize,
    has_arrivals: bool,
}

impl<'a> FleetRun<'a> {
    /// Prepares a run.
    #[must_use]
    pub fn new(site: &'a SitePlan, plan: &'a ScenarioPlan, policy: PolicyKind, seed: u64) -> Self {
        let config = policy.scheduler_config(site);
        let workers = (0..site.workers)
            .map(|worker| FleetWorker {
                scheduler: UpstreamScheduler::new(config.clone(), Duration::ZERO),
                domain: worker % site.domains,
                incarnation: 0,
                permits: BTreeMap::new(),
                loads: BTreeMap::new(),
            })
            .collect();
        let adapters: Vec<AdapterRef> = (0..site.adapters).filter_map(adapter_ref).collect();
        let indexes = adapters.iter().cloned().zip(0..).collect();
        Self {
            site,
            plan,
            policy,
            placement: policy.placement_policy(),
            random: StdRng::seed_from_u64(seed ^ 0x5eed),
            events: EventQueue::default(),
            traffic: TrafficSource::new(plan, site, seed),
            requests: Vec::new(),
            adapters,
            indexes,
            callers: (0..64)
                .map(|caller| CallerId::from_name(&format!("caller-{caller:02}")))
                .collect(),
            workers,
            view: FleetView::new(site),
            holders: FleetHolders::new(site, policy),
            store: StoreFake::new(&site.store),
            record: RunRecord::new(plan, site),
            open: 0,
            has_arrivals: true,
        }
    }

    /// Runs until every request has ended, at most ten minutes after the last arrival.
    #[must_use]
    pub fn run(mut self) -> RunFigures {
        self.schedule_start();
        let limit = self.plan.end + Duration::from_mins(10);
        while let Some((now, event)) = self.events.pop() {
            if now > limit || (!self.has_arrivals && self.open == 0) {
                break;
            }
            let running: u32 = self
                .workers
                .iter()
                .map(|worker| worker.scheduler.running())
                .sum();
            let waiting = as_f64(self.open) - f64::from(running);
            self.record
                .occupied(f64::from(running), waiting.max(0.0), now);
            self.step(event, now);
        }
        self.record.unfinished(self.open as u64);
        self.record.into_figures(self.policy.as_str())
    }

    fn schedule_start(&mut self) {
        self.next_arrival();
        self.events.push(TICK, FleetEvent::Tick);
        for worker in 0..self.site.workers {
            let stagger = HEARTBEAT * u32::try_from(worker).unwrap_or(0)
                / u32::try_from(self.site.workers).unwrap_or(1);
            self.events.push(stagger, FleetEvent::View { worker });
        }
        for (at, fault) in &self.plan.faults {
            self.events.push(*at, FleetEvent::Fault(*fault));
        }
    }

    fn step(&mut self, event: FleetEvent, now: Duration) {
        match event {
            FleetEvent::Arrive { request } => {
                self.open += 1;
                self.place(request, now);
                self.next_arrival();
            }
            FleetEvent::Offer { request } => self.offer(request, now),
            FleetEvent::Finish { request, attempt } => self.finish(request, attempt, now),
            FleetEvent::LoadEnd {
                worker,
                adapter,
                incarnation,
            } => {
                self.end_load(worker, adapter, incarnation, now);
            }
            FleetEvent::EvictEnd {
                worker,
                adapter,
                incarnation,
            } => {
                if self.workers[worker].incarnation == incarnation {
                    let adapter = self.adapters[adapter].clone();
                    let scheduler = &mut self.workers[worker].scheduler;
                    let actions = scheduler.evict_finished(&adapter, true, now);
                    self.act(worker, actions, now);
                }
            }
            FleetEvent::Wake { holder } => self.wake(holder, now),
            FleetEvent::Grant {
                holder,
                permit,
                worker,
                adapter,
            } => {
                self.workers[worker]
                    .permits
                    .insert(adapter, (holder, permit));
                let lapse = FleetEvent::Lapse {
                    worker,
                    adapter,
                    permit,
                };
                self.events.push(now + Duration::from_millis(1_001), lapse);
                let adapter = self.adapters[adapter].clone();
                let actions = self.workers[worker].scheduler.permit_granted(&adapter, now);
                self.act(worker, actions, now);
            }
            FleetEvent::Lapse {
                worker,
                adapter,
                permit,
            } => self.lapse(worker, adapter, permit),
            FleetEvent::Tick => {
                for worker in 0..self.workers.len() {
                    let actions = self.workers[worker].scheduler.tick(now);
                    self.act(worker, actions, now);
                    self.ask(worker, now);
                }
                self.events.push(now + TICK, FleetEvent::Tick);
            }
            FleetEvent::View { worker } => {
                self.view.refresh(worker, &self.workers[worker], now);
                self.events
                    .push(now + HEARTBEAT, FleetEvent::View { worker });
            }
            FleetEvent::Fault(fault) => self.fault(fault, now),
        }
    }

    fn next_arrival(&mut self) {
        match self.traffic.next() {
            Some(request) => {
                let event = FleetEvent::Arrive {
                    request: self.requests.len(),
                };
                self.events.push(request.arrived_at, event);
                self.record.arrived(&request);
                self.requests.push(request);
            }
            None => self.has_arrivals = false,
        }
    }

    /// Chooses a worker as the entry of the request would.
    fn place(&mut self, index: usize, now: Duration) {
        let request = &self.requests[index];
        let (entry, rank) = (request.entry, request.rank);
        let (domain, home) = entry_domain(self.site, entry);
        let adapter = &self.adapters[request.adapter];
        let is_cut = self.holders.is_cut;
        let workers = &self.workers;
        let candidates = self.view.candidates(entry, &adapter.to_string(), |worker| {
            !is_cut || (workers[worker].domain == 0) == (domain == 0)
        });
        let chosen = match self.policy {
            PolicyKind::LeastLoaded => least_loaded(&candidates, rank),
            PolicyKind::Rendezvous => highest_score(&candidates, adapter),
            PolicyKind::Present | PolicyKind::InOrder | PolicyKind::First => {
                self.placement
                    .choose(Some(adapter), rank, &home, &candidates, &mut self.random)
            }
        };
        let worker = chosen.and_then(|upstream| self.view.worker_of(upstream));
        let worker = worker.unwrap_or(0);
        self.view.placed(entry, worker, now);
        let is_near = self.workers[worker].domain == domain;
        let hop = if is_near {
            Duration::ZERO
        } else {
            self.site.hop
        };
        self.requests[index].worker = worker;
        self.events
            .push(now + CLIENT + hop, FleetEvent::Offer { request: index });
    }

    fn offer(&mut self, index: usize, now: Duration) {
        let request = &mut self.requests[index];
        let worker = request.worker;
        let adapter = &self.adapters[request.adapter];
        let scheduler = &mut self.workers[worker].scheduler;
        if !request.is_started() && !scheduler.residency().is_resident(adapter) {
            request.is_stalled = true;
            self.record.stalled(request);
        }
        let mean = MEAN_TOKENS[request.rank.index()];
        let item = WorkItem {
            request: RequestId::from_u128(index as u128),
            adapter: Some(adapter.clone()),
            caller: self.callers[request.caller].clone(),
            rank: request.rank,
            deadline: request.deadline,
            tokens: mean,
            is_preemptible: true,
            is_exclusive: false,
        };
        let actions = scheduler.offer(item, now);
        self.act(worker, actions, now);
        self.ask(worker, now);
    }

    /// Carries out the actions of a scheduler and those that follow from them.
    fn act(&mut self, worker: usize, actions: Vec<ScheduleAction>, now: Duration) {
        let mut pending = VecDeque::from(actions);
        while let Some(action) = pending.pop_front() {
            match action {
                ScheduleAction::Dispatch(request) => self.dispatch(to_index(request), now),
                ScheduleAction::Refuse { request, .. } => {
                    self.open -= 1;
                    self.record.refused(&self.requests[to_index(request)], now);
                }
                ScheduleAction::Preempt(request) => {
                    let index = to_index(request);
                    self.interrupt(index, now);
                    pending.extend(self.workers[worker].scheduler.finished(request, now));
                    self.events.push(now, FleetEvent::Offer { request: index });
                }
                ScheduleAction::Evict(adapter) => {
                    let event = FleetEvent::EvictEnd {
                        worker,
                        adapter: self.indexes[&adapter],
                        incarnation: self.workers[worker].incarnation,
                    };
                    self.events.push(now + EVICT, event);
                }
                ScheduleAction::Load(adapter) => self.start_load(worker, &adapter, now),
            }
        }
    }

    fn dispatch(&mut self, index: usize, now: Duration) {
        let request = &mut self.requests[index];
        if !request.is_started() {
            self.record.dispatched(request, now);
        }
        request.attempt += 1;
        request.dispatched_at = now;
        request.is_running = true;
        let took = self.site.token_time.mul_f64(request.tokens);
        let event = FleetEvent::Finish {
            request: index,
            attempt: request.attempt,
        };
        self.events.push(now + took, event);
    }

    /// Stops a dispatch; what it has produced is kept.
    fn interrupt(&mut self, index: usize, now: Duration) {
        let request = &mut self.requests[index];
        let ran = now.saturating_sub(request.dispatched_at).as_secs_f64();
        let tokens = (ran / self.site.token_time.as_secs_f64()).min(request.tokens);
        request.tokens -= tokens;
        request.attempt += 1;
        request.is_running = false;
        self.record.produced(request.rank, tokens, now);
    }

    fn finish(&mut self, index: usize, attempt: u32, now: Duration) {
        let request = &mut self.requests[index];
        if request.attempt != attempt || !request.is_running {
            return;
        }
        request.is_running = false;
        self.open -= 1;
        self.record.produced(request.rank, request.tokens, now);
        self.record.finished(request, now);
        let worker = request.worker;
        let id = RequestId::from_u128(index as u128);
        let actions = self.workers[worker].scheduler.finished(id, now);
        self.act(worker, actions, now);
    }

    fn start_load(&mut self, worker: usize, adapter: &AdapterRef, now: Duration) {
        let index = self.indexes[adapter];
        let state = &mut self.workers[worker];
        if let Some(permit) = state.permits.remove(&index) {
            state.loads.insert(index, permit);
        }
        let incarnation = state.incarnation;
        let end = self.store.start(now);
        self.record.load_started(now);
        let event = FleetEvent::LoadEnd {
            worker,
            adapter: index,
            incarnation,
        };
        self.events.push(end, event);
    }

    fn end_load(&mut self, worker: usize, adapter: usize, incarnation: u32, now: Duration) {
        self.store.end();
        let state = &mut self.workers[worker];
        if state.incarnation != incarnation {
            return;
        }
        if let Some((holder, permit)) = state.loads.remove(&adapter) {
            self.return_permit(holder, permit, now);
        }
        let adapter = self.adapters[adapter].clone();
        let actions = self.workers[worker]
            .scheduler
            .load_finished(&adapter, true, now);
        self.act(worker, actions, now);
    }

    fn return_permit(&mut self, holder: usize, permit: u64, now: Duration) {
        if let Some(bucket) = self.holders.buckets.get_mut(holder) {
            bucket.release(permit);
            self.request_wake(holder, now + self.site.hop);
        }
    }

    fn lapse(&mut self, worker: usize, adapter: usize, permit: u64) {
        let permits = &mut self.workers[worker].permits;
        if permits
            .get(&adapter)
            .is_some_and(|(_, held)| *held == permit)
            && let Some((holder, permit)) = permits.remove(&adapter)
            && let Some(bucket) = self.holders.buckets.get_mut(holder)
        {
            bucket.release(permit);
        }
    }

    /// Lets the holder know that a worker may have new bids.
    fn ask(&mut self, worker: usize, now: Duration) {
        if !self.workers[worker].scheduler.has_bids(now) {
            return;
        }
        let holder = self.holders.holder_of(self.workers[worker].domain);
        self.request_wake(holder, now + self.site.hop);
    }

    fn request_wake(&mut self, holder: usize, at: Duration) {
        // Looking at bids before a permit is available would only cost time.
        let Some(ready_at) = self
            .holders
            .buckets
            .get(holder)
            .and_then(|bucket| bucket.ready_at(at))
        else {
            return;
        };
        let at = at.max(ready_at);
        let is_sooner = self.holders.wakes[holder].is_none_or(|wake| at < wake);
        if is_sooner {
            self.holders.wakes[holder] = Some(at);
            self.events.push(at, FleetEvent::Wake { holder });
        }
    }

    /// Collects bids and sends grants out.
    fn wake(&mut self, holder: usize, now: Duration) {
        if self.holders.wakes[holder] != Some(now) || holder >= self.holders.buckets.len() {
            return;
        }
        self.holders.wakes[holder] = None;
        for (index, worker) in self.workers.iter().enumerate() {
            if self.holders.holder_of(worker.domain) == holder {
                let mut bids = worker.scheduler.bids(now);
                bids.retain(|bid| !worker.permits.contains_key(&self.indexes[&bid.adapter]));
                let upstream = &self.site.pool.upstreams[index].name;
                self.holders.buckets[holder].set_bids(upstream, &bids);
            }
        }
        let bucket = &mut self.holders.buckets[holder];
        let grants = bucket.grants(now);
        let next = bucket.next_grant_at(now);
        for grant in grants {
            let (Some(worker), Some(adapter)) = (
                self.view.worker_of(&grant.upstream),
                self.indexes.get(&grant.adapter).copied(),
            ) else {
                continue;
            };
            self.workers[worker]
                .permits
                .insert(adapter, (holder, grant.permit));
            let permit = grant.permit;
            let event = FleetEvent::Grant {
                holder,
                permit,
                worker,
                adapter,
            };
            self.events.push(now + self.site.hop, event);
        }
        if let Some(next) = next {
            self.request_wake(holder, next.max(now + Duration::from_millis(1)));
        }
    }

    fn fault(&mut self, fault: FaultKind, now: Duration) {
        match fault {
            FaultKind::PopularityShift => {}
            FaultKind::StoreSpeed(speed) => self.store.set_speed(speed),
            FaultKind::DomainCut => self.holders.cut(now),
            FaultKind::DomainHealed => self.holders.heal(now),
            FaultKind::RestartThird => {
                for worker in (0..self.workers.len()).step_by(3) {
                    self.restart(worker, now);
                }
            }
            FaultKind::Sweep => {
                for adapter in 0..self.site.adapters {
                    let request = self.traffic.sweep_request(adapter, now);
                    self.record.arrived(&request);
                    self.requests.push(request);
                    self.open += 1;
                    self.place(self.requests.len() - 1, now);
                }
            }
        }
    }

    /// Restarts an engine; its running requests are resumed elsewhere or on the same worker.
    fn restart(&mut self, worker: usize, now: Duration) {
        let state = &mut self.workers[worker];
        state.incarnation += 1;
        let permits: Vec<(usize, u64)> = state.loads.values().copied().collect();
        state.loads.clear();
        for (holder, permit) in permits {
            self.return_permit(holder, permit, now);
        }
        let actions = self.workers[worker].scheduler.restarted(now);
        self.act(worker, actions, now);
        let running: Vec<usize> = (0..self.requests.len())
            .filter(|index| {
                let request = &self.requests[*index];
                request.worker == worker && request.is_running
            })
            .collect();
        for index in running {
            self.interrupt(index, now);
            let id = RequestId::from_u128(index as u128);
            let actions = self.workers[worker].scheduler.finished(id, now);
            self.act(worker, actions, now);
            self.place(index, now);
        }
    }
}

fn adapter_ref(index: usize) -> Option<AdapterRef> {
    AdapterRef::new(&format!("adapter-{index:05}"), "1").ok()
}

fn to_index(request: RequestId) -> usize {
    usize::try_from(request.to_u128()).unwrap_or(usize::MAX)
}
