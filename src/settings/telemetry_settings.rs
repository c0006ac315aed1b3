use std::net::SocketAddr;

use serde::Deserialize;

use super::LogLevel;

/// Section `[telemetry]`: the log level and the metrics collector.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TelemetrySettings {
    /// The UDP address of a statsd collector; metrics are not sent if it is unset.
    pub metrics_address: Option<SocketAddr>,
    /// The minimum severity of messages that are logged.
    pub log_level: LogLevel,
}

impl Default for TelemetrySettings {
    fn default() -> Self {
        Self {
            metrics_address: None,
            log_level: LogLevel::Info,
        }
    }
}
