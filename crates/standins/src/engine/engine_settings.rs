use std::net::SocketAddr;
use std::time::Duration;

use comfreychute::unit::DurationText;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use crate::control::default_settings;

/// The settings and faults of an engine.
#[serde_as]
#[derive(Debug, Clone, PartialEq, clap::Args, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSettings {
    /// The address to bind; port 0 picks a free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub address: SocketAddr,
    /// Number of adapters that fit.
    #[arg(long, default_value_t = 8)]
    pub slots: u32,
    /// Number of requests that run side by side.
    #[arg(long, default_value_t = 16)]
    pub max_running: u32,
    /// Duration of a load at full speed.
    #[arg(long, default_value = "250ms", value_parser = DurationText::parse)]
    #[serde_as(as = "DurationText")]
    pub load_time: Duration,
    /// Loads per second that the weight store serves at full speed; 0: no limit.
    #[arg(long, default_value_t = 0.0)]
    pub store_rate: f64,
    /// Loads in flight that the weight store serves at full speed; 0: no limit.
    #[arg(long, default_value_t = 0)]
    pub store_in_flight: u32,
    /// Time between two tokens of a stream; with 0ms all tokens are sent at once.
    #[arg(long, default_value = "5ms", value_parser = DurationText::parse)]
    #[serde_as(as = "DurationText")]
    pub token_interval: Duration,
    /// Number of tokens of a request that names none.
    #[arg(long, default_value_t = 16)]
    pub default_tokens: u64,
    /// Whether orders with an old fencing token are rejected.
    #[arg(long)]
    #[serde(default)]
    pub checks_fencing: bool,
    /// Time by which the reported numbers of running and waiting requests lag.
    #[arg(long, default_value = "0ms", value_parser = DurationText::parse)]
    #[serde_as(as = "DurationText")]
    pub report_lag: Duration,
    /// Time by which cache events lag.
    #[arg(long, default_value = "0ms", value_parser = DurationText::parse)]
    #[serde_as(as = "DurationText")]
    pub cache_event_lag: Duration,
    /// Loses every cache event whose number is a multiple of this; 0: none.
    #[arg(long, default_value_t = 0)]
    pub cache_event_gap: u64,
    /// Time for which an answer without a reader goes on or is kept.
    #[arg(long, default_value = "5s", value_parser = DurationText::parse)]
    #[serde_as(as = "DurationText")]
    pub resume_time: Duration,
    /// Number of next loads that fail.
    #[arg(long, default_value_t = 0)]
    pub fail_loads: u32,
    /// Number of next pairs of concurrent answers that are swapped.
    #[arg(long, default_value_t = 0)]
    pub swap_answers: u32,
    /// Number of next answers that send each event twice.
    #[arg(long, default_value_t = 0)]
    pub duplicate_answers: u32,
    /// Number of next answers that end without an end marker after half of their tokens.
    #[arg(long, default_value_t = 0)]
    pub truncate_answers: u32,
    /// Number of next answers whose connection is cut after half of their tokens.
    #[arg(long, default_value_t = 0)]
    pub cut_answers: u32,
    /// A text that, if it occurs in the body of a request that starts to run, restarts the engine.
    #[arg(long, default_value = "")]
    pub crash_marker: String,
}

impl Default for EngineSettings {
    fn default() -> Self {
        default_settings()
    }
}
