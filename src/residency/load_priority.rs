use std::time::Duration;

/// What a load is worth to the request that waits for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadPriority {
    /// Value of serving the request on time, in thousandths.
    pub value: u32,
    /// Time within which the load leads to an answer on time.
    pub late_after: Duration,
    /// Time within which the load is of any use.
    pub expires_after: Duration,
}
