use std::time::Duration;

use super::AllowanceSums;

/// One instance's replica of a token bucket that all instances share.
///
/// Every instance reports decayed sums of what its callers ask and of what it admits. A replica is
/// filled by the rate and drained by the admitted units of all instances. Units that a decayed sum
/// still holds are subtracted at once, so that the level lags by the age of the reports only.
///
/// While the bucket has room for the demand of the fleet, everything is admitted. Beyond that, each
/// request is admitted with the probability that makes the fleet spend what the bucket yields.
/// Shares per instance would be smaller than one request in a large fleet, and would be at the wrong
/// instances when demand moves.
#[derive(Debug, Clone)]
pub struct AllowanceBucket {
    rate: f64,
    burst: f64,
    /// Share of the fleet whose reports this instance receives, from 0 to 1.
    share: f64,
    own: AllowanceSums,
    others: AllowanceSums,
    /// Number of instances that `others` covers.
    other_count: u32,
    /// Level before the units that the decayed sums still hold are subtracted.
    gross_level: f64,
    updated_at: Duration,
}

/// Time in which a positive level may be spent in addition to the rate. A shorter time admits more
/// of a short crest, and more beyond the limit before the reports of the others arrive.
const SPEND_TIME: f64 = 0.25;

/// Time in which a debt is repaid. It exceeds the age of reports, so that the level does not
/// oscillate.
const REPAY_TIME: f64 = 1.0;

/// Time for which the excess of the admitted units over the rate is expected to go on, since the
/// reports do not show it yet. It is the age of reports and the time in which the sums follow.
const REPORT_LAG: f64 = 1.0;

/// Debt that is kept, in seconds of the rate. It covers what a sevenfold demand spends within the
/// age of the reports.
const MAX_DEBT_SECONDS: f64 = 4.0;

/// Fraction of the difference from the mean level of the others that is removed in one second, so
/// that lost reports do not let the replicas drift apart.
const LEVEL_PULL: f64 = 0.3;

/// Bounds of the time after which a refused caller is told to return, in seconds.
const RETRY_BOUNDS: (f64, f64) = (0.2, 8.0);

impl AllowanceBucket {
    /// Time constant of the sum of asked units. With a shorter one, a few requests of a workspace with
    /// a low rate look like a crest.
    pub const ASKED_DECAY: Duration = Duration::from_secs(1);

    /// Time constant of the sum of admitted units, which shows a crest sooner.
    pub const ADMITTED_DECAY: Duration = Duration::from_millis(500);

    /// Creates an empty bucket: an instance that starts must not spend a second burst.
    #[must_use]
    pub fn new(rate: f64, burst: f64, now: Duration) -> Self {
        Self {
            rate,
            burst,
            share: 0.0,
            own: AllowanceSums::default(),
            others: AllowanceSums::default(),
            other_count: 0,
            gross_level: 0.0,
            updated_at: now,
        }
    }

    /// Sets the limit. What exceeds a lower burst is cut at once.
    pub fn set_limit(&mut self, rate: f64, burst: f64, now: Duration) {
        self.advance(now);
        self.rate = rate;
        self.burst = burst;
        self.clamp_level();
    }

    /// Sets the latest reports of the `count` other instances, and the share of the fleet, from 0 to
    /// 1, that they and this instance are.
    ///
    /// Only that share of rate and burst is spent, so that the parts of a partitioned fleet together
    /// stay within the limit.
    pub fn set_others(&mut self, others: AllowanceSums, count: u32, share: f64, now: Duration) {
        self.advance(now);
        let had_others = self.other_count > 0;
        self.others = others;
        self.other_count = count;
        self.share = share.clamp(0.0, 1.0);
        if !had_others && let Some(mean) = self.mean_level() {
            self.gross_level = mean + self.unsettled();
        }
        self.clamp_level();
    }

    /// Decides about a request of `cost` units; `draw` is a random number from 0 to 1.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller may return if the request exceeds the allowance.
    pub fn ask(&mut self, cost: f64, draw: f64, now: Duration) -> Result<(), Duration> {
        self.advance(now);
        if cost > self.max_debt() {
            // It could never be repaid in full, and would let the demand look like a crest.
            return Err(Duration::from_secs_f64(RETRY_BOUNDS.1));
        }
        self.own.asked += cost;
        let level = self.level() - self.unreported(cost);
        let time = if level > 0.0 { SPEND_TIME } else { REPAY_TIME };
        let yielded = (self.rate * self.share + level / time).max(0.0);
        let fraction = yielded / self.asked_rate().max(f64::MIN_POSITIVE);
        if draw < fraction {
            self.own.admitted += cost;
            return Ok(());
        }
        // Given the refusal, this is again a random number from 0 to 1.
        let spread = (draw - fraction) / (1.0 - fraction).max(f64::EPSILON);
        Err(self.retry_after(cost, spread))
    }

    /// Gives back the units of an admitted request that did not run.
    pub fn refund(&mut self, cost: f64, now: Duration) {
        self.advance(now);
        self.own.admitted -= cost;
    }

    /// Returns the level of the bucket as this instance sees it; a debt is negative.
    #[must_use]
    pub fn level(&self) -> f64 {
        self.gross_level - self.unsettled()
    }

    /// Returns the rate at which units are asked for, as reported by all heard instances.
    #[must_use]
    pub fn asked_rate(&self) -> f64 {
        (self.own.asked + self.others.asked) / Self::ASKED_DECAY.as_secs_f64()
    }

    /// Returns what this instance reports to the others.
    #[must_use]
    pub fn own_sums(&mut self, now: Duration) -> AllowanceSums {
        self.advance(now);
        AllowanceSums {
            level: self.level(),
            ..self.own
        }
    }

    /// Returns the highest value that a report of one instance can credibly contain.
    #[must_use]
    pub fn report_limit(&self) -> f64 {
        MAX_REPORT_SECONDS * self.rate + self.burst + MAX_REPORT_UNITS
    }

    /// Spreads refused callers over the time in which the rate covers what is asked in a second, so
    /// that they do not form the next crest.
    fn retry_after(&self, cost: f64, spread: f64) -> Duration {
        let rate = (self.rate * self.share).max(f64::MIN_POSITIVE);
        let (shortest, longest) = RETRY_BOUNDS;
        let earliest = ((cost - self.level()) / rate).clamp(0.0, longest / 2.0);
        let excess = (self.asked_rate() / rate - 1.0).clamp(0.5, longest / 2.0);
        Duration::from_secs_f64((earliest + excess * spread).clamp(shortest, longest))
    }

    /// Estimates the units beyond the rate that the others have admitted since their reports.
    ///
    /// One request is not evidence of a crest, so that its cost is subtracted.
    fn unreported(&self, cost: f64) -> f64 {
        let admitted_rate = self.unsettled() / Self::ADMITTED_DECAY.as_secs_f64();
        let excess = (admitted_rate - self.rate * self.share) * REPORT_LAG;
        (excess - cost).max(0.0)
    }

    fn max_debt(&self) -> f64 {
        (self.rate * MAX_DEBT_SECONDS + self.burst).max(1.0)
    }

    /// Returns the admitted units that the gross level still contains.
    fn unsettled(&self) -> f64 {
        self.own.admitted + self.others.admitted
    }

    fn mean_level(&self) -> Option<f64> {
        (self.other_count > 0).then(|| self.others.level / f64::from(self.other_count))
    }

    /// Fills and drains the bucket for the time since the last call. The latest report of the others
    /// stands for that time.
    fn advance(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.updated_at).as_secs_f64();
        if passed <= 0.0 {
            return;
        }
        self.updated_at = now;
        let admitted_decay = Self::ADMITTED_DECAY.as_secs_f64();
        let kept = (-passed / admitted_decay).exp();
        self.gross_level += self.rate * self.share * passed;
        self.gross_level -= self.own.admitted * (1.0 - kept);
        self.gross_level -= self.others.admitted * passed / admitted_decay;
        self.own.admitted *= kept;
        self.own.asked *= (-passed / Self::ASKED_DECAY.as_secs_f64()).exp();
        if let Some(mean) = self.mean_level() {
            self.gross_level += (mean - self.level()) * (LEVEL_PULL * passed).min(1.0);
        }
        self.clamp_level();
    }

    /// Limits the level. The debt is not scaled by the share: one request of an instance that hears
    /// no other may cost more than a minute of its share, and must be repaid.
    fn clamp_level(&mut self) {
        let highest = self.burst * self.share;
        let level = self.level().clamp(-self.max_debt(), highest);
        self.gross_level = level + self.unsettled();
    }
}

/// Limit of a reported value in seconds of the rate; demand rises to several times the rate.
const MAX_REPORT_SECONDS: f64 = 100.0;

/// Units by which a reported value may exceed that limit, so that a low rate covers large requests.
const MAX_REPORT_UNITS: f64 = 1e6;
