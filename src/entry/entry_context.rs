use std::fmt;
use std::sync::Mutex;

use super::{EntryRouter, RequestTracker};
use crate::claim::ClaimStore;
use crate::config::ConfigStore;
use crate::id::InstanceId;
use crate::policy::RetryBudget;
use crate::telemetry::MetricSink;
use crate::time::ClockSource;

/// State shared by all request handlers of an instance.
pub struct EntryContext {
    /// The name of this instance, recorded as the holder of claims.
    pub instance: InstanceId,
    /// The clock that deadlines are measured with.
    pub clock: ClockSource,
    /// The configuration tables that requests are routed by.
    pub config: ConfigStore,
    /// Selects upstreams and opens calls to their owners.
    pub router: EntryRouter,
    /// Claims idempotency keys for requests that run at most once.
    pub claims: ClaimStore,
    /// Limits the reruns of failed requests, so that retries do not overload the upstreams.
    pub retry_budget: Mutex<RetryBudget>,
    /// Counts the requests in progress.
    pub request_tracker: RequestTracker,
    /// Records the metrics of requests, retries and the time to the first token.
    pub metrics: MetricSink,
    /// The largest body accepted on any route, in bytes.
    pub max_body: u64,
    /// The maximum number of concurrent requests; further ones are refused as overloaded.
    pub max_in_progress: usize,
}

impl fmt::Debug for EntryContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EntryContext")
            .field("instance", &self.instance)
            .finish_non_exhaustive()
    }
}
