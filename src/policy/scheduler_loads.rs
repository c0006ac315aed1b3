//! The part of the scheduler that bids for loads, makes room for them and starts them.

use std::time::Duration;

use super::waiting_group::WaitingGroup;
use super::{LoadBid, ScheduleAction, UpstreamScheduler};
use crate::error::ErrorKind;
use crate::id::{AdapterRef, RequestId, RequestRank};

/// Bids that one upstream makes at a time; further ones could not be granted soon anyway.
const MAX_BIDS: usize = 16;

/// Failed loads in a row after which waiting requests are sent back to their entries.
const MAX_LOAD_FAILURES: u32 = 2;

impl UpstreamScheduler {
    /// Lists the loads that waiting requests need, the most valuable first.
    ///
    /// Bids for which no slot could be made free are left out: a permit that waits for a slot
    /// lapses, or its load starts late and exceeds the rate of the store together with the next.
    #[must_use]
    pub fn bids(&self, now: Duration) -> Vec<LoadBid> {
        let room = self.room(now);
        let mut bids = Vec::new();
        for rank in RequestRank::ALL {
            let limit = room[rank.index()].min(MAX_BIDS).saturating_sub(bids.len());
            if limit == 0 {
                continue;
            }
            let mut wanted: Vec<(f64, &AdapterRef)> = self
                .wanted(rank, now)
                .map(|(adapter, group)| {
                    let worth = self.worth(rank, adapter, group, now);
                    (worth / self.chance(rank, adapter, now), adapter)
                })
                .collect();
            wanted.sort_by(|left, right| right.0.total_cmp(&left.0));
            bids.extend(
                wanted
                    .into_iter()
                    .take(limit)
                    .map(|(worth, adapter)| LoadBid::new(adapter.clone(), rank, worth)),
            );
        }
        bids
    }

    /// Returns whether [`UpstreamScheduler::bids`] would list any.
    #[must_use]
    pub fn has_bids(&self, now: Duration) -> bool {
        let room = self.room(now);
        RequestRank::ALL
            .into_iter()
            .any(|rank| room[rank.index()] > 0 && self.wanted(rank, now).next().is_some())
    }

    /// Iterates over the adapters that need a load and whose most urgent request has the rank.
    fn wanted(
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

    /// Returns whether requests of the rank wait for a load.
    pub(super) fn has_wanted(&self, rank: RequestRank) -> bool {
        self.queues[rank.index()]
            .adapters()
            .any(|adapter| self.residency.state(adapter).is_none())
    }

    /// Counts the loads that could find a slot, by the rank that they are for.
    fn room(&self, now: Duration) -> [usize; 3] {
        if !self.config.bids_need_slot {
            return [usize::MAX; 3];
        }
        let pending = self
            .attempts
            .values()
            .filter(|attempt| attempt.permit_until.is_some())
            .count();
        let free = self.residency.free_slots() + self.residency.evicting();
        RequestRank::ALL.map(|rank| (free + self.evictable(rank, now)).saturating_sub(pending))
    }

    /// Returns whether requests wait for the adapter.
    pub(super) fn is_wanted(&self, adapter: &AdapterRef) -> bool {
        self.queues.iter().any(|queue| queue.has_adapter(adapter))
    }

    /// Starts permitted loads in free slots and orders evictions for the others.
    pub(super) fn start_loads(&mut self, now: Duration, actions: &mut Vec<ScheduleAction>) {
        self.drop_stale_attempts(now);
        let mut permitted: Vec<LoadBid> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.permit_until.is_some())
            .filter_map(|(adapter, _)| {
                let rank = self.most_urgent(adapter)?;
                let group = self.queues[rank.index()].group(adapter)?;
                let worth = self.worth(rank, adapter, group, now);
                Some(LoadBid::new(adapter.clone(), rank, worth))
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

    /// Learns from the end of a load and refuses requests after repeated failures.
    pub(super) fn note_load(
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

    /// Returns whether batch work waits for more requests before it bids.
    ///
    /// A load that urgent or standard work causes later then serves it too. The hold shrinks with
    /// the backlog: where loads are the bottleneck, work gathers while it waits for its turn.
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
        let clearing = backlog / self.config.expected_load_rate.max(1e-3);
        let allowed = first.item.deadline.saturating_sub(first.queued_at) / 4;
        let hold = self.config.batch_hold.min(allowed);
        age.as_secs_f64() + clearing < hold.as_secs_f64()
    }

    /// Weighs how likely a more urgent request will have the adapter loaded anyway.
    ///
    /// Where loads are the bottleneck, as in a sweep, batch work for popular adapters comes last
    /// and shares their loads.
    fn chance(&self, rank: RequestRank, adapter: &AdapterRef, now: Duration) -> f64 {
        if rank == RequestRank::Batch && self.config.batch_hold > Duration::ZERO {
            1.0 + self.residency.popularity(adapter, now)
        } else {
            1.0
        }
    }

    /// Weighs the requests that one load would serve, and how long they have waited.
    ///
    /// `group` is that of the most urgent rank that waits for the adapter.
    fn worth(
        &self,
        rank: RequestRank,
        adapter: &AdapterRef,
        group: &WaitingGroup,
        now: Duration,
    ) -> f64 {
        let weigh = |group: &WaitingGroup| {
            f64::from(u32::try_from(group.len()).unwrap_or(u32::MAX))
                + group.total_wait(now).as_secs_f64()
        };
        let less_urgent: f64 = self.queues[rank.index() + 1..]
            .iter()
            .filter_map(|queue| queue.group(adapter))
            .map(weigh)
            .sum();
        weigh(group) + less_urgent
    }

    /// Chooses the adapter that makes room for a request of a rank.
    ///
    /// Adapters that requests of the same or a more urgent rank wait for stay.
    fn victim(&self, rank: RequestRank, now: Duration) -> Option<AdapterRef> {
        self.residency
            .victim(|adapter| self.is_kept_from(rank, adapter), now)
    }

    fn evictable(&self, rank: RequestRank, now: Duration) -> usize {
        self.residency
            .evictable(|adapter| self.is_kept_from(rank, adapter), now)
    }

    fn is_kept_from(&self, rank: RequestRank, adapter: &AdapterRef) -> bool {
        if !self.config.bids_need_slot {
            return self.is_wanted(adapter);
        }
        // The slot that is left unpinned for loads serves any rank that has not got its floor. A
        // rank above its floor, as batch in its own surge, would keep urgent loads waiting there.
        let first = if self.is_below_floor(rank) && self.is_turnover_needed() {
            rank.index()
        } else {
            0
        };
        self.queues[first..=rank.index()]
            .iter()
            .any(|queue| queue.has_adapter(adapter))
    }

    /// Returns the most urgent rank that waits for the adapter.
    fn most_urgent(&self, adapter: &AdapterRef) -> Option<RequestRank> {
        RequestRank::ALL
            .into_iter()
            .find(|rank| self.queues[rank.index()].has_adapter(adapter))
    }

    /// Forgets lapsed permits and adapters that nobody waits for any more.
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
