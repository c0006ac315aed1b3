/// What one or more instances report about the allowance of one workspace.
///
/// `asked` and `admitted` are sums of units that decay with
/// [`ASKED_DECAY`](super::AllowanceBucket::ASKED_DECAY) and
/// [`ADMITTED_DECAY`](super::AllowanceBucket::ADMITTED_DECAY), so that the sums of several instances
/// add up and nothing is left of an instance that has ended.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct AllowanceSums {
    /// Decayed sum of the units that callers asked for.
    pub asked: f64,
    /// Decayed sum of the units that were admitted. Units that are refunded count as negative.
    pub admitted: f64,
    /// Sum of the levels at which the instances see the bucket of the fleet.
    pub level: f64,
}

impl AllowanceSums {
    /// Adds the sums of other instances.
    pub fn add(&mut self, other: &Self) {
        self.asked += other.asked;
        self.admitted += other.admitted;
        self.level += other.level;
    }

    /// Limits each value to `limit`, with either sign where both are valid; a value that is not a
    /// number counts as zero.
    ///
    /// An absurd report of a peer would otherwise stop the workspace for hours or lift its limit.
    #[must_use]
    pub fn clamped(&self, limit: f64) -> Self {
        let clamp = |value: f64, low: f64| {
            if value.is_nan() {
                0.0
            } else {
                value.clamp(low, limit)
            }
        };
        Self {
            asked: clamp(self.asked, 0.0),
            admitted: clamp(self.admitted, -limit),
            level: clamp(self.level, -limit),
        }
    }
}
