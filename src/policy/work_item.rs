use std::time::Duration;

use crate::id::{AdapterRef, CallerId, RequestId, RequestRank};

/// Properties of a request that the scheduler of an upstream uses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkItem {
    /// Identifier of the request.
    pub request: RequestId,
    /// The requested adapter; `None` for plain services.
    pub adapter: Option<AdapterRef>,
    /// The caller, for fair queueing within a rank.
    pub caller: CallerId,
    /// Priority rank of the request.
    pub rank: RequestRank,
    /// Time since the start of the clock by which the answer must be complete.
    pub deadline: Duration,
    /// Estimated length of the answer in tokens; the unit of work for fair queueing and
    /// predictions.
    pub tokens: u32,
    /// Whether the request may be cancelled while it runs, to admit urgent requests; its driver may
    /// resume the answer stream later.
    pub is_preemptible: bool,
    /// Whether the request is suspected of crashing upstreams and must run with no other request on
    /// its upstream.
    pub is_exclusive: bool,
}
