use serde::Serialize;

use super::TimerValue;

/// One metric in a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct MetricRow {
    /// The name.
    pub name: &'static str,
    /// The pool, or an empty text for the whole node.
    pub pool: String,
    /// The rank or the reason, or an empty text.
    pub tag: &'static str,
    /// The count or the last value.
    pub value: u64,
    /// The durations, for a timer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub timer: Option<TimerValue>,
}
