use std::time::Duration;

use crate::error::ErrorKind;
use crate::id::{AdapterRef, RequestId};

/// An order of the scheduler that its driver carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ScheduleAction {
    /// Sends the request to the upstream; answered by `finished`.
    Dispatch(RequestId),
    /// Evicts an adapter that no dispatched request uses; answered by `evict_finished`.
    Evict(AdapterRef),
    /// Loads an adapter into a free slot; answered by `load_finished`.
    Load(AdapterRef),
    /// Cancels a running request; answered by `finished` and a new offer of the remaining work.
    Preempt(RequestId),
    /// Refuses a queued request that was never dispatched.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why it is refused.
        kind: ErrorKind,
        /// When a retry makes sense.
        retry_after: Duration,
    },
}
