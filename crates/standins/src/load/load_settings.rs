use std::net::SocketAddr;
use std::time::Duration;

use comfreychute::unit::DurationText;

use super::{CallKind, RankShares};
use crate::control::default_settings;

/// What to send, where and how often.
#[derive(Debug, Clone, PartialEq, clap::Args)]
pub struct LoadSettings {
    /// An address that requests are sent to; given several times, they take turns.
    #[arg(long = "target")]
    pub targets: Vec<SocketAddr>,
    /// An engine or plain service that is called directly in the same run, for comparison.
    #[arg(long)]
    pub direct: Option<SocketAddr>,
    /// What to send.
    #[arg(long, value_enum, default_value = "completion")]
    pub kind: CallKind,
    /// The path of plain calls.
    #[arg(long, default_value = "/echo")]
    pub path: String,
    /// The base model that completions name.
    #[arg(long, default_value = "base")]
    pub model: String,
    /// The start of the adapters' names; a number from 0 follows.
    #[arg(long, default_value = "adapter-")]
    pub adapter_prefix: String,
    /// The version of the adapters.
    #[arg(long, default_value = "1")]
    pub adapter_version: String,
    /// Number of adapters.
    #[arg(long, default_value_t = 8)]
    pub adapters: u32,
    /// Exponent of the adapters' popularity.
    #[arg(long, default_value_t = 1.1)]
    pub exponent: f64,
    /// Seed of the choices of adapter and rank.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Share of each rank.
    #[arg(long, default_value = "urgent=1,standard=7,batch=2")]
    pub shares: RankShares,
    /// Requests per second; in a comparison, to each side.
    #[arg(long, default_value_t = 100.0)]
    pub rate: f64,
    /// Number of requests; in a comparison, to each side.
    #[arg(long, default_value_t = 1_000)]
    pub count: u64,
    /// Number of requests that are sent to the targets before and not measured.
    #[arg(long, default_value_t = 0)]
    pub warm_up: u64,
    /// Number of tokens of each answer.
    #[arg(long, default_value_t = 16)]
    pub max_tokens: u64,
    /// Deadline that requests state.
    #[arg(long, value_parser = DurationText::parse)]
    pub deadline: Option<Duration>,
    /// Whether each request carries an own idempotency key.
    #[arg(long)]
    pub idempotency_keys: bool,
    /// Whether the adapters are loaded at the targets, which must be engines, before the run.
    #[arg(long)]
    pub preload: bool,
    /// Longest wait for an answer.
    #[arg(long, default_value = "30s", value_parser = DurationText::parse)]
    pub timeout: Duration,
    /// Requests in flight beyond which a due request is counted as not sent.
    #[arg(long, default_value_t = 10_000)]
    pub max_in_flight: usize,
}

impl Default for LoadSettings {
    fn default() -> Self {
        default_settings()
    }
}
