use std::time::Duration;

/// Limits retries to a share of recent first attempts.
///
/// Each request earns a fraction of a retry and each retry spends a whole one. Earnings are capped,
/// so that a quiet period does not save up a burst, and fade with the time since they were made. A
/// small reserve does not fade, so that an instance with little traffic can retry at all.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    share: f64,
    cap: f64,
    half_life: Duration,
    reserve: f64,
    balance: f64,
    updated_at: Duration,
}

impl RetryBudget {
    /// Creates an empty budget of `share` retries per request with at most `cap` saved up.
    #[must_use]
    pub const fn new(share: f64, cap: f64, half_life: Duration, now: Duration) -> Self {
        Self {
            share,
            cap,
            half_life,
            reserve: 0.0,
            balance: 0.0,
            updated_at: now,
        }
    }

    /// Fills the budget with a reserve of `reserve` retries that does not fade.
    #[must_use]
    pub const fn with_reserve(mut self, reserve: f64) -> Self {
        self.reserve = reserve;
        self.balance = reserve;
        self
    }

    /// Counts a first attempt.
    pub fn earn(&mut self, now: Duration) {
        self.fade(now);
        self.balance = (self.balance + self.share).min(self.cap);
    }

    /// Takes one retry if the budget allows it.
    #[must_use]
    pub fn try_spend(&mut self, now: Duration) -> bool {
        let is_covered = self.covers_retry(now);
        if is_covered {
            self.balance = (self.balance - 1.0).max(0.0);
        }
        is_covered
    }

    /// Returns whether the budget allows a retry now.
    #[must_use]
    pub fn covers_retry(&mut self, now: Duration) -> bool {
        self.fade(now);
        // A tolerance, because ten earnings of 0.1 sum to slightly less than 1.
        self.balance > 1.0 - 1e-9
    }

    /// Returns the retries saved up.
    #[must_use]
    pub const fn balance(&self) -> f64 {
        self.balance
    }

    fn fade(&mut self, now: Duration) {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        let half_life = self.half_life.as_secs_f64();
        if age > 0.0 && half_life > 0.0 {
            let fading = (self.balance - self.reserve).max(0.0);
            self.balance += fading * ((-age / half_life).exp2() - 1.0);
            self.updated_at = now;
        }
    }
}
