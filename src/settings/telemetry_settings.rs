use std::net::SocketAddr;

use serde::Deserialize;

use super::LogLevel;

/// Section `[telemetry]`: logs and metrics.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TelemetrySettings {
    /// The UDP address of a statsd collector; metrics are not sent if it is unset.
    pub metrics_address: Option<SocketAddr>,
    /// The least severe level that is logged.
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
