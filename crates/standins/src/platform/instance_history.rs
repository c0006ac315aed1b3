use std::collections::VecDeque;
use std::time::Duration;

use comfreychute::platform_client::ListedInstance;
use tokio::time::Instant;

/// The lists of instances with the time from which each held.
#[derive(Debug)]
pub(super) struct InstanceHistory {
    lists: VecDeque<(Instant, Vec<ListedInstance>)>,
}

impl InstanceHistory {
    /// Starts with an empty list.
    pub(super) fn new() -> Self {
        Self {
            lists: VecDeque::from([(Instant::now(), Vec::new())]),
        }
    }

    /// Replaces the list; older ones than an hour are dropped.
    pub(super) fn push(&mut self, list: Vec<ListedInstance>) {
        let now = Instant::now();
        while self.lists.len() > 1 && now - self.lists[1].0 > Duration::from_hours(1) {
            self.lists.pop_front();
        }
        self.lists.push_back((now, list));
    }

    /// Returns the list that held `lag` ago, or the oldest.
    pub(super) fn at(&self, lag: Duration) -> &[ListedInstance] {
        self.lists
            .iter()
            .rev()
            .find(|(since, _)| since.elapsed() >= lag)
            .or_else(|| self.lists.front())
            .map_or(&[], |(_, list)| list)
    }
}
