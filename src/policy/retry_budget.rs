use std::time::Duration;

/// Limits retries to a ratio of recent first attempts.
///
/// Each first attempt earns a fraction of a retry, and each retry spends a whole one. The balance
/// is capped, so that a period with few retries does not save up for a burst, and decays over time.
/// A small reserve does not decay, so that an instance with little traffic can retry at all.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    ratio: f64,
    max_balance: f64,
    half_life: Duration,
    reserve: f64,
    balance: f64,
    updated_at: Duration,
}

impl RetryBudget {
    /// Creates an empty budget that earns `ratio` retries per request, up to `max_balance`.
    #[must_use]
    pub const fn new(ratio: f64, max_balance: f64, half_life: Duration, now: Duration) -> Self {
        Self {
            ratio,
            max_balance,
            half_life,
            reserve: 0.0,
            balance: 0.0,
            updated_at: now,
        }
    }

    /// Fills the budget with `reserve` retries that do not decay.
    #[must_use]
    pub const fn with_reserve(mut self, reserve: f64) -> Self {
        self.reserve = reserve;
        self.balance = reserve;
        self
    }

    /// Credits the budget for a first attempt.
    pub fn earn(&mut self, now: Duration) {
        self.decay(now);
        self.balance = (self.balance + self.ratio).min(self.max_balance);
    }

    /// Spends one retry if the balance covers it; returns whether it did.
    #[must_use]
    pub fn try_spend(&mut self, now: Duration) -> bool {
        let is_covered = self.covers_retry(now);
        if is_covered {
            self.balance = (self.balance - 1.0).max(0.0);
        }
        is_covered
    }

    /// Returns whether the balance covers a retry at `now`.
    #[must_use]
    pub fn covers_retry(&mut self, now: Duration) -> bool {
        self.decay(now);
        // The tolerance is needed because ten credits of 0.1 sum to slightly less than 1.
        self.balance > 1.0 - 1e-9
    }

    /// Returns the number of retries in the budget as of its last update.
    #[must_use]
    pub const fn balance(&self) -> f64 {
        self.balance
    }

    fn decay(&mut self, now: Duration) {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        let half_life = self.half_life.as_secs_f64();
        if age > 0.0 && half_life > 0.0 {
            let decaying = (self.balance - self.reserve).max(0.0);
            self.balance += decaying * ((-age / half_life).exp2() - 1.0);
            self.updated_at = now;
        }
    }
}
