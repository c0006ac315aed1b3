//! Admission in [`UpstreamScheduler`]: refuses requests that cannot meet their deadline.

use std::time::Duration;

use super::{ScheduleAction, UpstreamScheduler, WorkItem};
use crate::error::ErrorKind;
use crate::id::{RequestId, RequestRank};

impl UpstreamScheduler {
    /// Returns `Some` with the time after which a retry may succeed if the request must be refused.
    ///
    /// A request is refused if its queue is full or its predicted end exceeds its deadline.
    pub(super) fn refusal(&self, item: &WorkItem, now: Duration) -> Option<Duration> {
        let queue = &self.queues[item.rank.index()];
        let tokens = RequestRank::ALL.map(|rank| self.queues[rank.index()].tokens());
        let wait = self.admission.queue_wait(item.rank, tokens);
        if queue.len() >= self.config.queue_limit {
            return Some(wait);
        }
        let end = now + wait + self.shortest_time(item);
        (end > item.deadline).then_some(wait)
    }

    /// Refuses queued requests that would miss their deadline even if they were served immediately.
    pub(super) fn refuse_late(&mut self, now: Duration, actions: &mut Vec<ScheduleAction>) {
        for index in 0..self.queues.len() {
            let late: Vec<RequestId> = self.queues[index]
                .by_deadline()
                // No request is predicted to take longer than `longest_time`, so later deadlines
                // are safe.
                .take_while(|queued| queued.item.deadline < now + self.admission.longest_time())
                .filter(|queued| !queued.is_resumed)
                .filter(|queued| now + self.shortest_time(&queued.item) > queued.item.deadline)
                .map(|queued| queued.item.request)
                .collect();
            for request in late {
                self.queues[index].remove(request);
                actions.push(ScheduleAction::Refuse {
                    request,
                    kind: ErrorKind::Overloaded,
                    retry_after: self.admission.load_time(),
                });
            }
        }
    }

    /// Predicts the time to a complete answer if no other request were queued.
    fn shortest_time(&self, item: &WorkItem) -> Duration {
        let run = self.admission.run_time(item.tokens);
        let is_ready = item
            .adapter
            .as_ref()
            .is_none_or(|adapter| self.residency.is_resident(adapter));
        if is_ready {
            run
        } else {
            run + self.admission.load_time()
        }
    }
}
