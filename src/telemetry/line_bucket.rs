use std::time::Duration;

/// Token bucket that limits the log lines of one event.
///
/// Suppressed lines are counted, so that the log can report their number.
#[derive(Debug)]
pub struct LineBucket {
    tokens: f64,
    updated_at: Duration,
    suppressed: u64,
}

/// Sustained rate of lines per event. All events together then stay below a megabyte per second,
/// and formatting them below a few percent of a core.
const LINES_PER_SECOND: f64 = 50.0;

/// Burst of lines per event, large enough to log the beginning of an incident in full.
const BURST_LINES: f64 = 400.0;

impl LineBucket {
    /// Creates a full bucket; its clock starts at zero.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            tokens: BURST_LINES,
            updated_at: Duration::ZERO,
            suppressed: 0,
        }
    }

    /// Takes a token for one line and returns `true`, or counts the line as suppressed if the
    /// bucket is empty.
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

    /// Returns the number of lines suppressed since the last call.
    pub const fn take_suppressed(&mut self) -> u64 {
        std::mem::replace(&mut self.suppressed, 0)
    }
}

impl Default for LineBucket {
    fn default() -> Self {
        Self::new()
    }
}
