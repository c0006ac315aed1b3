use std::net::SocketAddr;
use std::time::Duration;

use comfreychute::unit::DurationText;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use super::OutageMode;
use crate::control::default_settings;

/// The settings and faults of the platform.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, clap::Args, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The address to bind; port 0 picks a free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub address: SocketAddr,
    /// What happens to calls.
    #[arg(long, value_enum, default_value = "off")]
    pub outage: OutageMode,
    /// Delay of each reply.
    #[arg(long, default_value = "0ms", value_parser = DurationText::parse)]
    #[serde_as(as = "DurationText")]
    pub delay: Duration,
    /// Number of next writes that take effect and whose reply is lost.
    #[arg(long, default_value_t = 0)]
    pub lost_replies: u32,
    /// Number of versions by which reads lag behind the writes, up to 8.
    #[arg(long, default_value_t = 0)]
    pub stale_versions: usize,
    /// Time by which the list of instances lags.
    #[arg(long, default_value = "0ms", value_parser = DurationText::parse)]
    #[serde_as(as = "DurationText")]
    pub instance_lag: Duration,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        default_settings()
    }
}
