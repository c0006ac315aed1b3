use std::time::Duration;

/// Exponential backoff with jitter: the delay doubles up to a limit, and each delay is shortened at
/// random by up to half, so that nodes that failed at the same time do not retry at the same time.
#[derive(Debug, Clone)]
pub struct RetryDelay {
    next: Duration,
    first: Duration,
    limit: Duration,
}

impl RetryDelay {
    /// Creates a backoff whose first delay is at most `first` and whose later ones grow to at most
    /// `limit`.
    #[must_use]
    pub const fn new(first: Duration, limit: Duration) -> Self {
        Self {
            next: first,
            first,
            limit,
        }
    }

    /// Returns the next delay; `random` is a uniformly distributed number from 0 to 1.
    #[must_use]
    pub fn next(&mut self, random: f64) -> Duration {
        let wait = self.next;
        self.next = (wait * 2).min(self.limit);
        wait.mul_f64(0.5 + 0.5 * random.clamp(0.0, 1.0))
    }

    /// Restarts the backoff at the first delay; to be called after a success.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}
