use std::time::Duration;

use crate::error::ErrorKind;
use crate::id::{AdapterRef, RequestId};

/// An action of the scheduler that its driver must carry out.
///
/// The driver reports the end of an action through the method of
/// [`UpstreamScheduler`](super::UpstreamScheduler) that the variant names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ScheduleAction {
    /// Sends the request to the upstream; the driver reports `finished`.
    Dispatch(RequestId),
    /// Evicts an adapter that no dispatched request uses; the driver reports `evict_finished`.
    Evict(AdapterRef),
    /// Loads an adapter into a free slot; the driver reports `load_finished`.
    Load(AdapterRef),
    /// Cancels a running batch request in favour of an urgent one; the driver reports `finished`.
    ///
    /// The driver may then offer the remaining work under the same id. The owner of an upstream
    /// does not; it sends an error to the entry instance.
    Preempt(RequestId),
    /// Refuses a queued request.
    ///
    /// A request that ran and was preempted is refused only after repeated failed loads of its
    /// adapter.
    Refuse {
        /// The refused request.
        request: RequestId,
        /// Kind of the error for the caller.
        kind: ErrorKind,
        /// Time after which a retry may succeed.
        retry_after: Duration,
    },
}
