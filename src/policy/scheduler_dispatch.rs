//! The part of the scheduler that chooses the next request to dispatch.

use std::time::Duration;

use super::running_item::RunningItem;
use super::{QueuedItem, ScheduleAction, UpstreamScheduler};
use crate::id::{RequestId, RequestRank};

impl UpstreamScheduler {
    /// Fills the free places of the batch, then makes room for urgent work.
    pub(super) fn dispatch_ready(&mut self, now: Duration, actions: &mut Vec<ScheduleAction>) {
        while self.running() < self.config.max_running {
            let Some((rank, request)) = self.next_request() else {
                return;
            };
            let Some(queued) = self.queues[rank.index()].take(request) else {
                return;
            };
            if let Some(adapter) = &queued.item.adapter {
                self.residency.pin(adapter, now);
            }
            self.running_by_rank[rank.index()] += 1;
            let running = RunningItem {
                item: queued.item,
                started_at: now,
                is_cancelled: false,
            };
            self.running.insert(request, running);
            actions.push(ScheduleAction::Dispatch(request));
        }
        self.preempt(actions);
    }

    /// Chooses the next request: ranks below their floor first, then the most urgent.
    fn next_request(&self) -> Option<(RequestRank, RequestId)> {
        let runs_alone = self
            .running
            .values()
            .any(|running| running.item.is_exclusive);
        if runs_alone {
            return None;
        }
        let heads = RequestRank::ALL.map(|rank| self.head(rank));
        let below_floor = RequestRank::ALL
            .into_iter()
            .find(|rank| heads[rank.index()].is_some() && self.is_below_floor(*rank));
        let rank = below_floor.or_else(|| {
            RequestRank::ALL
                .into_iter()
                .find(|rank| heads[rank.index()].is_some())
        })?;
        let head = heads[rank.index()]?;
        // A suspect waits until the upstream is empty; admitting others meanwhile would starve it.
        if head.item.is_exclusive && !self.running.is_empty() {
            return None;
        }
        Some((rank, head.item.request))
    }

    fn head(&self, rank: RequestRank) -> Option<&QueuedItem> {
        let queue = &self.queues[rank.index()];
        if self.is_turnover_needed()
            && (rank == RequestRank::Batch || self.is_load_wanted_after(rank))
        {
            let pinned = self
                .residency
                .residents()
                .filter(|adapter| self.residency.is_pinned(adapter));
            return queue.next_of(pinned);
        }
        queue.next_of(self.residency.residents())
    }

    /// Returns whether the slots that are left must stay free for loads.
    pub(super) fn is_turnover_needed(&self) -> bool {
        let headroom = self.config.headroom as usize;
        let limit = (self.config.slots as usize).saturating_sub(headroom).max(1);
        headroom > 0 && self.residency.pinned_slots() >= limit
    }

    /// Returns whether a less urgent rank below its floor waits for a load.
    ///
    /// A flood of one rank would otherwise pin every slot for as long as it lasts.
    fn is_load_wanted_after(&self, rank: RequestRank) -> bool {
        RequestRank::ALL[rank.index() + 1..]
            .iter()
            .any(|other| self.is_below_floor(*other) && self.has_wanted(*other))
    }

    pub(super) fn is_below_floor(&self, rank: RequestRank) -> bool {
        let floor = self.config.floors[rank.index()] * f64::from(self.config.max_running);
        f64::from(self.running_by_rank[rank.index()]) + 1.0 <= floor
    }

    /// Cancels batch streams for urgent requests that could run now.
    fn preempt(&mut self, actions: &mut Vec<ScheduleAction>) {
        let urgent = RequestRank::Urgent;
        let Some(head) = self.head(urgent) else {
            return;
        };
        let is_exclusive = head.item.is_exclusive;
        let ready = self.queues[urgent.index()].count_of(self.residency.residents());
        let cancelled = self
            .running
            .values()
            .filter(|running| running.is_cancelled)
            .count();
        let batch_floor =
            self.config.floors[RequestRank::Batch.index()] * f64::from(self.config.max_running);
        let mut batch = f64::from(self.running_by_rank[RequestRank::Batch.index()]);
        let mut wanted = ready.saturating_sub(cancelled);
        if is_exclusive {
            return;
        }
        // The latest starters go first: they hold the least finished work.
        let mut candidates: Vec<(Duration, RequestId)> = self
            .running
            .iter()
            .filter(|(_, running)| {
                running.item.rank == RequestRank::Batch
                    && running.item.is_preemptible
                    && !running.is_cancelled
            })
            .map(|(request, running)| (running.started_at, *request))
            .collect();
        candidates.sort();
        while wanted > 0 && batch - 1.0 >= batch_floor {
            let Some((_, request)) = candidates.pop() else {
                return;
            };
            if let Some(running) = self.running.get_mut(&request) {
                running.is_cancelled = true;
            }
            actions.push(ScheduleAction::Preempt(request));
            wanted -= 1;
            batch -= 1.0;
        }
    }
}
