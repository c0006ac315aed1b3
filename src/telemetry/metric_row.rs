use serde::Serialize;

use super::TimerValue;

/// One metric in a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct MetricRow {
    /// The name sent to the collector.
    pub name: &'static str,
    /// The pool, or an empty string for metrics of the whole node.
    pub pool: String,
    /// The rank or the reason, or an empty string.
    pub tag: &'static str,
    /// The total of a counter, the last value of a gauge or the number of durations of a timer.
    pub value: u64,
    /// The summary of the durations; only set for timers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub timer: Option<TimerValue>,
}
