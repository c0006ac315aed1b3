//! Adapter loads in [`UpstreamScheduler`]: bids for load permits, evicts adapters and starts
//! permitted loads.

use std::time::Duration;

use super::waiting_group::WaitingGroup;
use super::{LoadBid, ScheduleAction, UpstreamScheduler};
use crate::error::ErrorKind;
use crate::id::{AdapterRef, RequestId, RequestRank};

/// Maximum number of bids of one upstream; further ones could not be granted soon.
const MAX_BIDS_PER_UPSTREAM: usize = 16;

/// Consecutive failed loads of an adapter after which its queued requests are refused, so that
/// their entries can try another upstream.
const MAX_LOAD_FAILURES: u32 = 2;

impl UpstreamScheduler {
    /// Returns bids for the loads that queued requests need, by rank and then by descending value.
    ///
    /// Bids for which no slot could be freed are left out: a permit that waits for a slot expires,
    /// or its load starts late and, together with the next load, exceeds the rate of the store.
    #[must_use]
    pub fn bids(&self, now: Duration) -> Vec<LoadBid> {
        let slots = self.available_slots(now);
        let mut bids = Vec::new();
        for rank in RequestRank::ALL {
            let limit = slots[rank.index()]
                .min(MAX_BIDS_PER_UPSTREAM)
                .saturating_sub(bids.len());
            if limit == 0 {
                continue;
            }
            let mut load_demand: Vec<(f64, &AdapterRef)> = self
                .load_demand(rank, now)
                .map(|(adapter, group)| {
                    let score = self.bid_score(rank, adapter, group, now);
                    (score / self.batch_discount(rank, adapter, now), adapter)
                })
                .collect();
            load_demand.sort_by(|left, right| right.0.total_cmp(&left.0));
            bids.extend(
                load_demand
                    .into_iter()
                    .take(limit)
                    .map(|(score, adapter)| LoadBid::new(adapter.clone(), rank, score)),
            );
        }
        bids
    }

    /// Returns whether [`UpstreamScheduler::bids`] would return any bid.
    #[must_use]
    pub fn has_bids(&self, now: Duration) -> bool {
        let slots = self.available_slots(now);
        RequestRank::ALL
            .into_iter()
            .any(|rank| slots[rank.index()] > 0 && self.load_demand(rank, now).next().is_some())
    }

    /// Iterates over the adapters that need a load permit and whose most urgent queued request has
    /// the rank.
    fn load_demand(
        &self,
        rank: RequestRank,
        now: Duration,
    ) -> impl Iterator<Item = (&AdapterRef, &WaitingGroup)> {
        let (more_urgent, rest) = self.queues.split_at(rank.index());
        rest[0].groups().filter(move |(adapter, group)| {
            !(rank == RequestRank::Batch && self.is_held(group, now))
                && self.needs_permit(adapter, now)
                && !more_urgent.iter().any(|queue| queue.has_adapter(adapter))
        })
    }

    /// Returns whether requests of the rank are queued for an adapter without a slot.
    pub(super) fn has_load_demand(&self, rank: RequestRank) -> bool {
        self.queues[rank.index()]
            .adapters()
            .any(|adapter| self.residency.state(adapter).is_none())
    }

    /// Returns, per rank, the number of further loads that could get a slot: free slots, slots in
    /// eviction and slots that the rank may evict, less the unused permits.
    fn available_slots(&self, now: Duration) -> [usize; 3] {
        if !self.config.bids_need_slot {
            return [usize::MAX; 3];
        }
        let pending = self
            .attempts
            .values()
            .filter(|attempt| attempt.permit_until.is_some())
            .count();
        let free = self.residency.free_slots() + self.residency.evicting();
        RequestRank::ALL
            .map(|rank| (free + self.evictable_count(rank, now)).saturating_sub(pending))
    }

    /// Returns whether requests of any rank are queued for the adapter.
    pub(super) fn has_waiting(&self, adapter: &AdapterRef) -> bool {
        self.queues.iter().any(|queue| queue.has_adapter(adapter))
    }

    /// Starts permitted loads in free slots, the most valuable first, and orders evictions for the
    /// others.
    pub(super) fn start_loads(&mut self, now: Duration, actions: &mut Vec<ScheduleAction>) {
        self.drop_stale_attempts(now);
        let mut permitted: Vec<LoadBid> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.permit_until.is_some())
            .filter_map(|(adapter, _)| {
                let rank = self.most_urgent_rank(adapter)?;
                let group = self.queues[rank.index()].group(adapter)?;
                let score = self.bid_score(rank, adapter, group, now);
                Some(LoadBid::new(adapter.clone(), rank, score))
            })
            .collect();
        permitted.sort_by(|left, right| right.value.total_cmp(&left.value));
        let mut evicting = self.residency.evicting();
        for LoadBid { adapter, value } in permitted {
            if self.residency.begin_load(&adapter, now) {
                if let Some(attempt) = self.attempts.get_mut(&adapter) {
                    attempt.permit_until = None;
                    attempt.started_at = Some(now);
                }
                actions.push(ScheduleAction::Load(adapter));
            } else if evicting > 0 {
                evicting -= 1;
            } else if let Some(victim) = self.victim(LoadBid::rank_of(value), now) {
                self.residency.begin_evict(&victim);
                actions.push(ScheduleAction::Evict(victim));
            }
        }
    }

    /// Records the outcome of a load.
    ///
    /// A success updates the estimated load time. A failure delays the next bid, and repeated
    /// failures refuse the requests for the adapter.
    pub(super) fn record_load_end(
        &mut self,
        adapter: &AdapterRef,
        is_ok: bool,
        now: Duration,
        actions: &mut Vec<ScheduleAction>,
    ) {
        if is_ok {
            if let Some(started_at) = self
                .attempts
                .remove(adapter)
                .and_then(|attempt| attempt.started_at)
            {
                self.admission.observe_load(now.saturating_sub(started_at));
            }
            return;
        }
        let attempt = self.attempts.entry(adapter.clone()).or_default();
        attempt.started_at = None;
        attempt.failures += 1;
        attempt.retry_at = now + self.config.load_time * attempt.failures;
        if attempt.failures >= MAX_LOAD_FAILURES {
            self.attempts.remove(adapter);
            self.refuse_adapter(adapter, actions);
        }
    }

    fn needs_permit(&self, adapter: &AdapterRef, now: Duration) -> bool {
        self.residency.state(adapter).is_none()
            && self
                .attempts
                .get(adapter)
                .is_none_or(|attempt| attempt.permit_until.is_none() && attempt.retry_at <= now)
    }

    /// Returns whether batch requests wait for further requests before they bid.
    ///
    /// A load that an urgent or standard request causes in the meantime then serves them too. The
    /// wait shrinks as the backlog grows: where loads are the bottleneck, requests accumulate while
    /// they wait for their turn.
    fn is_held(&self, group: &WaitingGroup, now: Duration) -> bool {
        if self.config.batch_hold.is_zero() {
            return false;
        }
        let Some(first) = group.first() else {
            return false;
        };
        let batch = &self.queues[RequestRank::Batch.index()];
        let age = now.saturating_sub(first.queued_at);
        let backlog = f64::from(u32::try_from(batch.adapters_len()).unwrap_or(u32::MAX));
        let clear_time = backlog / self.config.expected_load_rate.max(1e-3);
        let allowed = first.item.deadline.saturating_sub(first.queued_at) / 4;
        let hold = self.config.batch_hold.min(allowed);
        age.as_secs_f64() + clear_time < hold.as_secs_f64()
    }

    /// Returns the divisor of a bid's score: it grows with the popularity of the adapter for batch
    /// requests, and is 1 for other ranks and without `batch_hold`.
    ///
    /// The more popular an adapter is, the likelier a more urgent request triggers its load. Where
    /// loads are the bottleneck, as in a batch sweep over many adapters, batch requests for popular
    /// adapters bid last and share the loads of more urgent requests.
    fn batch_discount(&self, rank: RequestRank, adapter: &AdapterRef, now: Duration) -> f64 {
        if rank == RequestRank::Batch && self.config.batch_hold > Duration::ZERO {
            1.0 + self.residency.popularity(adapter, now)
        } else {
            1.0
        }
    }

    /// Returns the number of requests that one load would serve plus the sum of their waits in
    /// seconds.
    ///
    /// `group` is the group of the most urgent rank with queued requests for the adapter.
    fn bid_score(
        &self,
        rank: RequestRank,
        adapter: &AdapterRef,
        group: &WaitingGroup,
        now: Duration,
    ) -> f64 {
        let weight = |group: &WaitingGroup| {
            f64::from(u32::try_from(group.len()).unwrap_or(u32::MAX))
                + group.total_wait(now).as_secs_f64()
        };
        let less_urgent: f64 = self.queues[rank.index() + 1..]
            .iter()
            .filter_map(|queue| queue.group(adapter))
            .map(weight)
            .sum();
        weight(group) + less_urgent
    }

    /// Chooses the adapter to evict for a load of a rank.
    ///
    /// See [`Self::is_protected_from`] for the adapters that are not chosen.
    fn victim(&self, rank: RequestRank, now: Duration) -> Option<AdapterRef> {
        self.residency
            .victim(|adapter| self.is_protected_from(rank, adapter), now)
    }

    fn evictable_count(&self, rank: RequestRank, now: Duration) -> usize {
        self.residency
            .evictable_count(|adapter| self.is_protected_from(rank, adapter), now)
    }

    /// Returns whether queued requests protect the adapter from eviction for a load of the rank.
    ///
    /// Requests of the same or a more urgent rank do. For a rank below its floor, while only the
    /// headroom is left unpinned, only requests of the same rank do. Without `bids_need_slot`,
    /// requests of any rank do.
    fn is_protected_from(&self, rank: RequestRank, adapter: &AdapterRef) -> bool {
        if !self.config.bids_need_slot {
            return self.has_waiting(adapter);
        }
        // The unpinned headroom serves any rank that has not reached its floor. If a rank above its
        // floor could claim it too, such as batch during a surge of batch requests, urgent loads
        // would have to wait for that slot.
        let first = if self.is_below_floor(rank) && self.is_headroom_reached() {
            rank.index()
        } else {
            0
        };
        self.queues[first..=rank.index()]
            .iter()
            .any(|queue| queue.has_adapter(adapter))
    }

    /// Returns the most urgent rank with queued requests for the adapter.
    fn most_urgent_rank(&self, adapter: &AdapterRef) -> Option<RequestRank> {
        RequestRank::ALL
            .into_iter()
            .find(|rank| self.queues[rank.index()].has_adapter(adapter))
    }

    /// Drops expired permits and obsolete attempts.
    ///
    /// An attempt is kept while its load is in progress, or while requests for the adapter are
    /// queued and it has an unused permit or failures.
    fn drop_stale_attempts(&mut self, now: Duration) {
        let queues = &self.queues;
        self.attempts.retain(|adapter, attempt| {
            if attempt.permit_until.is_some_and(|until| until <= now) {
                attempt.permit_until = None;
            }
            attempt.started_at.is_some()
                || (queues.iter().any(|queue| queue.has_adapter(adapter))
                    && (attempt.permit_until.is_some() || attempt.failures > 0))
        });
    }

    fn refuse_adapter(&mut self, adapter: &AdapterRef, actions: &mut Vec<ScheduleAction>) {
        for queue in &mut self.queues {
            let requests: Vec<RequestId> = queue
                .of_adapter(adapter)
                .map(|queued| queued.item.request)
                .collect();
            for request in requests {
                queue.remove(request);
                actions.push(ScheduleAction::Refuse {
                    request,
                    kind: ErrorKind::Unavailable,
                    retry_after: self.config.load_time,
                });
            }
        }
    }
}
