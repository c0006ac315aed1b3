use std::net::SocketAddr;
use std::time::Duration;

use comfreychute::unit::DurationText;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use crate::control::default_settings;

/// The settings and faults of a plain service.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, clap::Args, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlainSettings {
    /// The address to bind; port 0 picks a free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub address: SocketAddr,
    /// Delay of each answer.
    #[arg(long, default_value = "0ms", value_parser = DurationText::parse)]
    #[serde_as(as = "DurationText")]
    pub delay: Duration,
    /// Number of next calls that are answered with `fail_status`.
    #[arg(long, default_value_t = 0)]
    pub fail_calls: u32,
    /// The status of ordered failures.
    #[arg(long, default_value_t = 500)]
    pub fail_status: u16,
    /// Number of next calls that run and whose connection is cut instead of an answer.
    #[arg(long, default_value_t = 0)]
    pub lost_replies: u32,
    /// A text that, if it occurs in the body of a call, cuts all connections.
    #[arg(long, default_value = "")]
    pub crash_marker: String,
}

impl Default for PlainSettings {
    fn default() -> Self {
        default_settings()
    }
}
