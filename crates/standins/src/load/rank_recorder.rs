use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use super::request_outcome::RequestOutcome;
use super::{LatencySummary, RankSummary};

/// Collects the outcomes of the requests of one rank, or of all.
#[derive(Debug)]
pub(super) struct RankRecorder {
    count: u64,
    answered: u64,
    errors: BTreeMap<String, u64>,
    first_token: Histogram<u64>,
    end: Histogram<u64>,
    adapter_mismatches: u64,
    text_mismatches: u64,
}

impl RankRecorder {
    pub(super) fn new() -> Self {
        Self {
            count: 0,
            answered: 0,
            errors: BTreeMap::new(),
            first_token: new_histogram(),
            end: new_histogram(),
            adapter_mismatches: 0,
            text_mismatches: 0,
        }
    }

    pub(super) fn record(&mut self, outcome: &RequestOutcome) {
        self.count += 1;
        if let Some(latency) = outcome.first_token {
            record(&mut self.first_token, latency);
        }
        match &outcome.end {
            Ok(latency) => {
                self.answered += 1;
                record(&mut self.end, *latency);
            }
            Err(code) => *self.errors.entry(code.clone()).or_default() += 1,
        }
        self.adapter_mismatches += u64::from(outcome.is_misattributed);
        self.text_mismatches += u64::from(outcome.is_altered);
    }

    pub(super) fn summarize(&self) -> RankSummary {
        RankSummary {
            count: self.count,
            answered: self.answered,
            errors: self.errors.clone(),
            first_token_us: LatencySummary::from_histogram(&self.first_token),
            end_us: LatencySummary::from_histogram(&self.end),
            adapter_mismatches: self.adapter_mismatches,
            text_mismatches: self.text_mismatches,
        }
    }
}

/// The highest latency that is told apart, one hour in microseconds.
const HIGHEST: u64 = 3_600_000_000;

/// Creates a histogram of microseconds with three significant digits.
pub(super) fn new_histogram() -> Histogram<u64> {
    // A histogram that grows by itself does not grow on a saturating record.
    Histogram::new_with_max(HIGHEST, 3).expect("the limits are constants that are supported")
}

/// Adds a latency in microseconds.
pub(super) fn record(histogram: &mut Histogram<u64>, latency: Duration) {
    histogram.saturating_record(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX));
}
