use std::collections::BTreeMap;
use std::time::Duration;

use comfreychute::id::RequestRank;
use hdrhistogram::Histogram;

use super::rank_recorder::{RankRecorder, new_histogram, record};
use super::request_outcome::RequestOutcome;
use super::{LatencySummary, LoadSummary};

/// Collects the outcomes of a run.
#[derive(Debug)]
pub(super) struct LoadRecorder {
    sent: u64,
    not_sent: u64,
    send_span: Duration,
    lag: Histogram<u64>,
    all: RankRecorder,
    ranks: BTreeMap<RequestRank, RankRecorder>,
}

impl LoadRecorder {
    pub(super) fn new() -> Self {
        Self {
            sent: 0,
            not_sent: 0,
            send_span: Duration::ZERO,
            lag: new_histogram(),
            all: RankRecorder::new(),
            ranks: BTreeMap::new(),
        }
    }

    /// Notes that a request was sent `at` after the start of the run and `lag` after its due time.
    pub(super) fn record_sent(&mut self, at: Duration, lag: Duration) {
        self.sent += 1;
        self.send_span = at;
        record(&mut self.lag, lag);
    }

    /// Notes that a due request was not sent.
    pub(super) const fn record_not_sent(&mut self) {
        self.not_sent += 1;
    }

    pub(super) fn record(&mut self, rank: RequestRank, outcome: &RequestOutcome) {
        self.all.record(outcome);
        self.ranks
            .entry(rank)
            .or_insert_with(RankRecorder::new)
            .record(outcome);
    }

    pub(super) fn summarize(&self, elapsed: Duration) -> LoadSummary {
        let sent = u32::try_from(self.sent).unwrap_or(u32::MAX);
        LoadSummary {
            elapsed_s: elapsed.as_secs_f64(),
            sent_rate: f64::from(sent) / self.send_span.as_secs_f64().max(0.001),
            not_sent: self.not_sent,
            send_lag_us: LatencySummary::from_histogram(&self.lag),
            all: self.all.summarize(),
            ranks: self
                .ranks
                .iter()
                .map(|(rank, recorder)| (*rank, recorder.summarize()))
                .collect(),
        }
    }
}
