//! Log lines of orders and reports.

use std::time::Duration;

use super::{EngineOrder, OrderOutcome};
use crate::error::Result;
use crate::id::UpstreamId;
use crate::telemetry::{LogEvent, LogName};

/// Logs an order with its fencing token once it has been answered or given up.
///
/// `waited` is the time since the lease permitted the order, so that the time of that decision can be
/// told from the time of the line; `answer` is `None` if none arrived in time.
pub(super) fn log_order(
    upstream: &UpstreamId,
    order: &EngineOrder,
    waited: Duration,
    answer: Option<&Result<OrderOutcome>>,
) {
    let (name, outcome) = match answer {
        Some(Ok(outcome)) => (LogName::OrderAnswered, format!("{outcome:?}")),
        Some(Err(error)) => (LogName::OrderLost, error.detail().to_owned()),
        None => (LogName::OrderLost, "timed out".to_owned()),
    };
    LogEvent::new(name)
        .with("upstream", upstream)
        .with("operation", format_args!("{:?}", order.kind))
        .with("model", &order.model)
        .with_count("token", order.fencing_token)
        .with_count(
            "waited_ms",
            u64::try_from(waited.as_millis()).unwrap_or(u64::MAX),
        )
        .with("outcome", outcome)
        .send();
}

/// Logs a report that could not be read.
pub(super) fn log_lost_report(upstream: &UpstreamId, reason: &str) {
    LogEvent::new(LogName::ReportLost)
        .with("upstream", upstream)
        .with("reason", reason)
        .send();
}
