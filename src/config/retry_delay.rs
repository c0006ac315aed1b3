use std::time::Duration;

/// The waits between retries: they double up to a limit, and each is shortened at random by up to a
/// half, so that nodes that failed together do not retry together.
#[derive(Debug, Clone)]
pub struct RetryDelay {
    next: Duration,
    first: Duration,
    limit: Duration,
}

impl RetryDelay {
    /// Starts with waits of up to `first`, growing to up to `limit`.
    #[must_use]
    pub const fn new(first: Duration, limit: Duration) -> Self {
        Self {
            next: first,
            first,
            limit,
        }
    }

    /// Returns the next wait; `random` is a number from 0 to 1.
    #[must_use]
    pub fn next(&mut self, random: f64) -> Duration {
        let wait = self.next;
        self.next = (wait * 2).min(self.limit);
        wait.mul_f64(0.5 + 0.5 * random.clamp(0.0, 1.0))
    }

    /// Starts over after a success.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}
