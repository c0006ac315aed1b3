use std::fmt;
use std::sync::Mutex;

use super::{EntryRouter, RequestTracker};
use crate::claim::ClaimStore;
use crate::config::ConfigStore;
use crate::id::InstanceId;
use crate::policy::RetryBudget;
use crate::telemetry::MetricSink;
use crate::time::ClockSource;

/// What the handlers of requests share.
pub struct EntryContext {
    /// This instance.
    pub instance: InstanceId,
    /// The clock of deadlines.
    pub clock: ClockSource,
    /// The tables.
    pub config: ConfigStore,
    /// Finds upstreams and their owners.
    pub router: EntryRouter,
    /// Claims of idempotency keys.
    pub claims: ClaimStore,
    /// The budget of second attempts.
    pub retry_budget: Mutex<RetryBudget>,
    /// Counts requests in progress.
    pub request_tracker: RequestTracker,
    /// The metrics.
    pub metrics: MetricSink,
    /// The largest body that is accepted on any route, in bytes.
    pub max_body: u64,
    /// The largest number of requests in progress.
    pub max_in_progress: usize,
}

impl fmt::Debug for EntryContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EntryContext")
            .field("instance", &self.instance)
            .finish_non_exhaustive()
    }
}
