use std::time::Duration;

/// Limits the lines of one kind of event.
///
/// The lines that are left out are counted, so that the log says how many are missing.
#[derive(Debug)]
pub struct LineBucket {
    tokens: f64,
    updated_at: Duration,
    suppressed: u64,
}

/// Lines of one kind that are written in a second in the long run. All kinds together then stay
/// below a megabyte a second, and formatting them below a few percent of a core.
const LINES_PER_SECOND: f64 = 50.0;

/// Lines of one kind that are written at once; a day's first trouble is logged in full.
const BURST_LINES: f64 = 400.0;

impl LineBucket {
    /// Creates a full bucket.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            tokens: BURST_LINES,
            updated_at: Duration::ZERO,
            suppressed: 0,
        }
    }

    /// Takes one line if the limit allows it, and counts it as left out otherwise.
    #[must_use]
    pub fn admits_line(&mut self, now: Duration) -> bool {
        let earned = now.saturating_sub(self.updated_at).as_secs_f64() * LINES_PER_SECOND;
        self.tokens = (self.tokens + earned).min(BURST_LINES);
        self.updated_at = self.updated_at.max(now);
        let is_admitted = self.tokens >= 1.0;
        if is_admitted {
            self.tokens -= 1.0;
        } else {
            self.suppressed += 1;
        }
        is_admitted
    }

    /// Returns the number of lines left out since the last call.
    pub const fn take_suppressed(&mut self) -> u64 {
        std::mem::replace(&mut self.suppressed, 0)
    }
}

impl Default for LineBucket {
    fn default() -> Self {
        Self::new()
    }
}
