use std::time::Duration;

use crate::error::ErrorKind;
use crate::id::{AdapterRef, RequestId};

/// An action of the scheduler that its driver must carry out.
///
/// Where a method is named, the driver reports the outcome by calling it on the
/// [`UpstreamScheduler`](super::UpstreamScheduler).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ScheduleAction {
    /// Sends the request to the upstream; the driver reports `finished`.
    Dispatch(RequestId),
    /// Evicts an adapter that no dispatched request uses; the driver reports `evict_finished`.
    Evict(AdapterRef),
    /// Loads an adapter into a free slot; the driver reports `load_finished`.
    Load(AdapterRef),
    /// Cancels a running request; the driver reports `finished` and offers the remaining work
    /// again.
    Preempt(RequestId),
    /// Refuses a request that was never dispatched.
    Refuse {
        /// The refused request.
        request: RequestId,
        /// Kind of the error for the caller.
        kind: ErrorKind,
        /// Time after which a retry may succeed.
        retry_after: Duration,
    },
}
