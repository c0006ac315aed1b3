//! Dispatch in [`UpstreamScheduler`]: chooses the next request and preempts batch requests.

use std::time::Duration;

use super::running_item::RunningItem;
use super::{QueuedItem, ScheduleAction, UpstreamScheduler};
use crate::id::{RequestId, RequestRank};

impl UpstreamScheduler {
    /// Dispatches requests up to `max_running`; once it is reached, preempts batch requests for
    /// urgent ones.
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
        let is_exclusive_running = self
            .running
            .values()
            .any(|running| running.item.is_exclusive);
        if is_exclusive_running {
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
        // An exclusive request waits until the upstream is idle; dispatching others meanwhile would
        // starve it.
        if head.item.is_exclusive && !self.running.is_empty() {
            return None;
        }
        Some((rank, head.item.request))
    }

    /// Returns the next request of a rank whose adapter is resident.
    ///
    /// While only the headroom is left unpinned, batch requests are limited to adapters that are
    /// already pinned, and so are other ranks while a less urgent rank below its floor needs a
    /// load.
    fn head(&self, rank: RequestRank) -> Option<&QueuedItem> {
        let queue = &self.queues[rank.index()];
        if self.is_headroom_reached()
            && (rank == RequestRank::Batch || self.is_load_needed_below(rank))
        {
            let pinned = self
                .residency
                .residents()
                .filter(|adapter| self.residency.is_pinned(adapter));
            return queue.next_among(pinned);
        }
        queue.next_among(self.residency.residents())
    }

    /// Returns whether pinned adapters occupy all slots except the headroom, which must then stay
    /// unpinned for loads.
    pub(super) fn is_headroom_reached(&self) -> bool {
        let headroom = self.config.headroom as usize;
        let limit = (self.config.slots as usize).saturating_sub(headroom).max(1);
        headroom > 0 && self.residency.pinned_slots() >= limit
    }

    /// Returns whether a less urgent rank below its floor needs a load.
    ///
    /// Without this check, a surge of one rank would pin every slot for as long as it lasts.
    fn is_load_needed_below(&self, rank: RequestRank) -> bool {
        RequestRank::ALL[rank.index() + 1..]
            .iter()
            .any(|other| self.is_below_floor(*other) && self.has_load_demand(*other))
    }

    /// Returns whether one more request of the rank could run without exceeding its floor.
    pub(super) fn is_below_floor(&self, rank: RequestRank) -> bool {
        let floor = self.config.floors[rank.index()] * f64::from(self.config.max_running);
        f64::from(self.running_by_rank[rank.index()]) + 1.0 <= floor
    }

    /// Preempts batch requests in favour of urgent requests whose adapters are resident.
    ///
    /// Batch does not fall below its floor. Requests whose cancellation is in progress are deducted
    /// from the number to preempt.
    fn preempt(&mut self, actions: &mut Vec<ScheduleAction>) {
        let urgent = RequestRank::Urgent;
        let Some(head) = self.head(urgent) else {
            return;
        };
        let is_exclusive = head.item.is_exclusive;
        let ready = self.queues[urgent.index()].count_among(self.residency.residents());
        let cancelled = self
            .running
            .values()
            .filter(|running| running.is_cancelled)
            .count();
        let batch_floor =
            self.config.floors[RequestRank::Batch.index()] * f64::from(self.config.max_running);
        let mut batch = f64::from(self.running_by_rank[RequestRank::Batch.index()]);
        let mut needed = ready.saturating_sub(cancelled);
        if is_exclusive {
            return;
        }
        // The most recently started requests are preempted first: they lose the least work.
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
        while needed > 0 && batch - 1.0 >= batch_floor {
            let Some((_, request)) = candidates.pop() else {
                return;
            };
            if let Some(running) = self.running.get_mut(&request) {
                running.is_cancelled = true;
            }
            actions.push(ScheduleAction::Preempt(request));
            needed -= 1;
            batch -= 1.0;
        }
    }
}
