use std::time::Duration;

/// A crash of an upstream that had begun an answer on a part, as an instance observed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashSighting {
    /// The hash of the upstream.
    pub upstream: u64,
    /// Time since the crash.
    pub age: Duration,
    /// Whether the answer had only just begun.
    pub is_early: bool,
}
