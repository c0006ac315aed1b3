use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Instant;

use super::{LineBucket, LogName};

/// The token buckets of all events, each with its own lock.
#[derive(Debug)]
pub(super) struct LogRateLimiter {
    started_at: Instant,
    buckets: Vec<Mutex<LineBucket>>,
}

/// Set by the first bounded logger; without it, all lines are written.
static LIMITER: OnceLock<LogRateLimiter> = OnceLock::new();

impl LogRateLimiter {
    fn new() -> Self {
        Self {
            started_at: Instant::now(),
            buckets: LogName::ALL.iter().map(|_| Mutex::default()).collect(),
        }
    }

    /// Enables the rate limits for this process.
    pub(super) fn start() {
        LIMITER.get_or_init(Self::new);
    }

    /// Returns whether a line of an event may be written, and takes a token for it.
    pub(super) fn admits(name: LogName) -> bool {
        LIMITER.get().is_none_or(|limiter| {
            let now = limiter.started_at.elapsed();
            limiter.bucket(name).admits_line(now)
        })
    }

    /// Lists the events with lines suppressed since the last call, and the number of these lines.
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
