use std::time::Duration;

use crate::id::{AdapterRef, CallerId, RequestId, RequestRank};

/// A request as the scheduler of an upstream sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkItem {
    /// The request.
    pub request: RequestId,
    /// The adapter that it asks for; none for plain services.
    pub adapter: Option<AdapterRef>,
    /// The caller, for fair shares within a rank.
    pub caller: CallerId,
    /// The rank.
    pub rank: RequestRank,
    /// The time, since the start of the clock, by which the answer must be complete.
    pub deadline: Duration,
    /// The estimated length of the answer in tokens; the unit of work for shares and predictions.
    pub tokens: u32,
    /// Whether the stream may be cancelled and resumed to admit urgent work.
    pub is_preemptible: bool,
    /// Whether the request is suspected of crashing upstreams and must run alone.
    pub is_exclusive: bool,
}
