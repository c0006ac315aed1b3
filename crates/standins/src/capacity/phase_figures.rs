use std::time::Duration;

use serde::Serialize;

use super::ProcessUsage;
use crate::platform::PlatformCounters;

/// The figures of one phase. The process also runs the platform and the engines, so processor time
/// contains their share.
#[derive(Debug, Clone, Serialize)]
pub struct PhaseFigures {
    /// Length of the phase in seconds.
    pub seconds: f64,
    /// Bytes of heartbeat frames that one node sent per second.
    pub heartbeat_bytes_per_node_second: f64,
    /// Milliseconds of processor time per node and second.
    pub processor_ms_per_node_second: f64,
    /// Reads of single objects per second, by all nodes and the editor.
    pub reads_per_second: f64,
    /// Writes per second, by all nodes and the editor.
    pub writes_per_second: f64,
    /// Lists of objects per second.
    pub lists_per_second: f64,
    /// Started watches per second.
    pub watches_per_second: f64,
    /// Reads of the instance list per second.
    pub instance_reads_per_second: f64,
    /// Watches that waited at the end.
    pub waiting_watches: u64,
}

impl PhaseFigures {
    /// Computes the figures from the state before and after.
    #[must_use]
    pub fn between(
        nodes: u32,
        elapsed: Duration,
        usage: (ProcessUsage, ProcessUsage),
        bytes: (u64, u64),
        calls: (PlatformCounters, PlatformCounters),
    ) -> Self {
        let seconds = elapsed.as_secs_f64();
        let rate = |before: u64, after: u64| count(after.saturating_sub(before)) / seconds;
        let processor = usage.1.processor.saturating_sub(usage.0.processor);
        Self {
            seconds,
            heartbeat_bytes_per_node_second: rate(bytes.0, bytes.1) / f64::from(nodes),
            processor_ms_per_node_second: processor.as_secs_f64() * 1e3
                / seconds
                / f64::from(nodes),
            reads_per_second: rate(calls.0.reads, calls.1.reads),
            writes_per_second: rate(calls.0.writes, calls.1.writes),
            lists_per_second: rate(calls.0.lists, calls.1.lists),
            watches_per_second: rate(calls.0.watches, calls.1.watches),
            instance_reads_per_second: rate(calls.0.instance_reads, calls.1.instance_reads),
            waiting_watches: calls.1.waiting_watches,
        }
    }
}

/// Counts of a run of seconds are far below the limit of exact numbers.
fn count(value: u64) -> f64 {
    f64::from(u32::try_from(value).unwrap_or(u32::MAX))
}
