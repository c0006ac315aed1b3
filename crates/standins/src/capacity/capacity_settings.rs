use std::time::Duration;

use comfreychute::unit::DurationText;

/// The size of the measured fleet and the length of the measurement.
#[derive(Debug, Clone, clap::Args)]
pub struct CapacitySettings {
    /// Number of nodes, all in one failure domain.
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u32).range(1..=64))]
    pub nodes: u32,
    /// Number of engines, all in the same failure domain.
    #[arg(long, default_value_t = 16, value_parser = clap::value_parser!(u32).range(1..=256))]
    pub engines: u32,
    /// Length of each of the two phases, without and with changes of the tables.
    #[arg(long, default_value = "10s", value_parser = DurationText::parse)]
    pub phase: Duration,
    /// Time between two changes of the tables in the second phase.
    #[arg(long, default_value = "1s", value_parser = DurationText::parse)]
    pub change_interval: Duration,
    /// Time between two reads of the instance list by one node.
    #[arg(long, default_value = "5s", value_parser = DurationText::parse)]
    pub list_interval: Duration,
    /// Time between two heartbeats of one node.
    #[arg(long, default_value = "500ms", value_parser = DurationText::parse)]
    pub heartbeat_interval: Duration,
}
