use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// The numbers of running and waiting requests over time.
#[derive(Debug, Default)]
pub(super) struct LoadReport {
    samples: VecDeque<(Instant, u32, u32)>,
}

impl LoadReport {
    /// Records the numbers, which hold from now on; samples older than needed are dropped.
    pub(super) fn push(&mut self, running: u32, waiting: u32, lag: Duration) {
        while self
            .samples
            .get(1)
            .is_some_and(|(since, _, _)| since.elapsed() >= lag)
        {
            self.samples.pop_front();
        }
        self.samples.push_back((Instant::now(), running, waiting));
    }

    /// Returns the numbers that held `lag` ago.
    pub(super) fn at(&self, lag: Duration) -> (u32, u32) {
        self.samples
            .iter()
            .rev()
            .find(|(since, _, _)| since.elapsed() >= lag)
            .map_or((0, 0), |&(_, running, waiting)| (running, waiting))
    }
}
