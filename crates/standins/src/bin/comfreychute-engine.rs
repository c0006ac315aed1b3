//! Runs stand-ins of model engines.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use clap::Parser;
use comfreychute::unit::DurationText;
use comfreychute_standins::EngineStandin;
use comfreychute_standins::control::ReadyLine;
use comfreychute_standins::engine::{EngineSettings, WeightStore};

/// Serves simulated model engines that share one weight store.
#[derive(Debug, Parser)]
struct EngineCommand {
    #[command(flatten)]
    settings: EngineSettings,
    /// Number of engines; a fixed port is counted up.
    #[arg(long, default_value_t = 1)]
    count: u16,
    /// Time after which the process ends by itself.
    #[arg(long, default_value = "10m", value_parser = DurationText::parse)]
    run_for: Duration,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let command = EngineCommand::parse();
    let store = WeightStore::default();
    let first = command.settings.address;
    let mut standins = Vec::new();
    for number in 0..command.count {
        let mut settings = command.settings.clone();
        if first.port() != 0 {
            settings.address = SocketAddr::new(first.ip(), first.port() + number);
        }
        standins.push(EngineStandin::start_with_store(settings, store.clone()).await?);
    }
    let addresses = standins.iter().map(EngineStandin::address).collect();
    ReadyLine::new(addresses)
        .print_and_wait(command.run_for)
        .await?;
    Ok(())
}
