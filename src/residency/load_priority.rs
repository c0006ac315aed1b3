use std::time::Duration;

/// The priority of an adapter load: the value and the time limits of the request that waits for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadPriority {
    /// Value of serving the request on time, in thousandths.
    pub value: u32,
    /// Time within which the load has to finish for the answer to be on time.
    pub late_after: Duration,
    /// Time after which the request can no longer be served, so that the load is refused.
    pub expires_after: Duration,
}
