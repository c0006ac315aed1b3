//! Structured logs and metrics.
//!
//! A log line is one JSON object with the fields `time`, `level`, `event` and `message`, followed by
//! the fields of the event such as `request`, `attempt`, `caller`, `adapter`, `upstream` or `reason`.

mod json_logger;
mod line_bucket;
mod log_event;
mod log_name;
mod log_rate_limiter;
mod metric_name;
mod metric_row;
mod metric_sink;
mod metric_table;
mod queued_output;
mod timer_value;

pub use json_logger::{JsonLogger, panic_count};
pub use line_bucket::LineBucket;
pub use log_event::LogEvent;
pub(crate) use log_event::timestamp;
pub use log_name::LogName;
pub use metric_name::MetricName;
pub use metric_row::MetricRow;
pub use metric_sink::MetricSink;
pub use metric_table::MetricTable;
pub use queued_output::{LogDrain, QueuedOutput};
pub use timer_value::TimerValue;

use slog::{Logger, o};

/// Returns a `slog` logger that forwards records to the `log` crate; dropshot requires one.
pub fn to_slog() -> Logger {
    use slog::Drain;
    Logger::root(slog_stdlog::StdLog.fuse(), o!())
}
