use std::time::Duration;

/// States that a request exceeds the allowance of its workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AllowanceRefusal {
    /// Time after which the caller may return.
    pub retry_after: Duration,
}
