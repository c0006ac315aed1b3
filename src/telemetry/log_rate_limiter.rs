use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Instant;

use super::{LineBucket, LogName};

/// The buckets of all kinds of events, each under its own lock.
#[derive(Debug)]
pub(super) struct LogRateLimiter {
    started_at: Instant,
    buckets: Vec<Mutex<LineBucket>>,
}

/// Set once a bounded logger is installed; other loggers write every line.
static LIMITER: OnceLock<LogRateLimiter> = OnceLock::new();

impl LogRateLimiter {
    fn new() -> Self {
        Self {
            started_at: Instant::now(),
            buckets: LogName::ALL.iter().map(|_| Mutex::default()).collect(),
        }
    }

    /// Starts to limit the lines of this process.
    pub(super) fn start() {
        LIMITER.get_or_init(Self::new);
    }

    /// Returns whether a line of an event may be written, and counts it.
    pub(super) fn admits(name: LogName) -> bool {
        LIMITER.get().is_none_or(|limiter| {
            let now = limiter.started_at.elapsed();
            limiter.bucket(name).admits_line(now)
        })
    }

    /// Lists the events of which lines were left out since the last call, with their numbers.
    pub(super) fn take_suppressed() -> Vec<(LogName, u64)> {
        let Some(limiter) = LIMITER.get() else {
            return Vec::new();
        };
        LogName::ALL
            .iter()
            .map(|name| (*name, limiter.bucket(*name).take_suppressed()))
            .filter(|(_, count)| *count > 0)
            .collect()
    }

    fn bucket(&self, name: LogName) -> MutexGuard<'_, LineBucket> {
        self.buckets[name as usize]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
