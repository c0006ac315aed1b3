//! Runs the stand-in of the platform.

use std::error::Error;
use std::time::Duration;

use clap::Parser;
use comfreychute::unit::DurationText;
use comfreychute_standins::PlatformStandin;
use comfreychute_standins::control::ReadyLine;
use comfreychute_standins::platform::PlatformSettings;

/// Serves an object store and a list of instances in memory.
#[derive(Debug, Parser)]
struct PlatformCommand {
    #[command(flatten)]
    settings: PlatformSettings,
    /// Time after which the process ends by itself.
    #[arg(long, default_value = "10m", value_parser = DurationText::parse)]
    run_for: Duration,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let command = PlatformCommand::parse();
    let standin = PlatformStandin::start(command.settings).await?;
    ReadyLine::new(vec![standin.address()])
        .print_and_wait(command.run_for)
        .await?;
    Ok(())
}
