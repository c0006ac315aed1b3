use std::time::Duration;

use comfreychute::id::RequestRank;

/// A request during a run.
#[derive(Debug, Clone)]
pub(crate) struct RequestState {
    pub(crate) arrived_at: Duration,
    pub(crate) rank: RequestRank,
    pub(crate) adapter: usize,
    pub(crate) caller: usize,
    pub(crate) deadline: Duration,
    /// Tokens of the whole answer.
    pub(crate) size: f64,
    /// Tokens that remain; a preempted request keeps what it has produced.
    pub(crate) tokens: f64,
    pub(crate) entry: usize,
    pub(crate) worker: usize,
    /// The dispatch in progress, so that the end of a cancelled one is ignored.
    pub(crate) attempt: u32,
    pub(crate) dispatched_at: Duration,
    pub(crate) is_running: bool,
    pub(crate) is_stalled: bool,
    pub(crate) is_sweep: bool,
}

impl RequestState {
    /// Returns whether the request has been dispatched at least once.
    pub(crate) const fn is_started(&self) -> bool {
        self.attempt > 0
    }
}
