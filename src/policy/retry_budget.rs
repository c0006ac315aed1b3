use std::time::Duration;

/// Limits retries to a ratio of recent first attempts.
///
/// Each first attempt earns a fraction of a retry, and each retry spends a whole one. The balance
/// is capped, so that a period with few retries does not save up for a burst, and decays over time.
/// A small reserve does not decay, so that an instance with little traffic can retry at all. It
/// accrues again after it was spent.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    ratio: f64,
    max_balance: f64,
    half_life: Duration,
    reserve: f64,
    /// The highest reserve with which the balance was filled.
    filled: f64,
    balance: f64,
    updated_at: Duration,
}

/// Number of half-lives in which the reserve accrues again.
const RESERVE_HALF_LIVES: f64 = 8.0;

impl RetryBudget {
    /// Creates an empty budget that earns `ratio` retries per request, up to `max_balance`.
    ///
    /// `half_life` is that of the balance above the reserve.
    #[must_use]
    pub const fn new(ratio: f64, max_balance: f64, half_life: Duration, now: Duration) -> Self {
        Self {
            ratio,
            max_balance,
            half_life,
            reserve: 0.0,
            filled: 0.0,
            balance: 0.0,
            updated_at: now,
        }
    }

    /// Fills the budget with `reserve` retries that do not decay.
    #[must_use]
    pub const fn with_reserve(mut self, reserve: f64) -> Self {
        self.reserve = reserve;
        self.filled = reserve;
        self.balance = reserve;
        self
    }

    /// Sets the share of a fleet's budget: `reserve` retries that accrue within eight half-lives and do not
    /// decay, and a balance of at most `max_balance`, to which a higher one is cut.
    ///
    /// Once, `reserve` is available at once, or as much of it as `fill_limit` states.
    pub fn set_share(&mut self, reserve: f64, max_balance: f64, fill_limit: f64, now: Duration) {
        self.decay(now);
        let filled = reserve.min(fill_limit).max(self.filled);
        self.balance = (self.balance + filled - self.filled).min(max_balance);
        self.filled = filled;
        self.reserve = reserve;
        self.max_balance = max_balance;
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
            let decaying = self.balance - self.reserve;
            if decaying > 0.0 {
                self.balance += decaying * ((-age / half_life).exp2() - 1.0);
            } else {
                let accrued = self.reserve * age / (half_life * RESERVE_HALF_LIVES);
                self.balance += accrued.min(-decaying);
            }
            self.updated_at = now;
        }
    }
}
