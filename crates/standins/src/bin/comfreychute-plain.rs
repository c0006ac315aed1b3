//! Runs a stand-in of a plain service.

use std::error::Error;
use std::time::Duration;

use clap::Parser;
use comfreychute::unit::DurationText;
use comfreychute_standins::PlainStandin;
use comfreychute_standins::control::ReadyLine;
use comfreychute_standins::plain::PlainSettings;

/// Serves a plain service that echoes each call.
#[derive(Debug, Parser)]
struct PlainCommand {
    #[command(flatten)]
    settings: PlainSettings,
    /// Time after which the process ends by itself.
    #[arg(long, default_value = "10m", value_parser = DurationText::parse)]
    run_for: Duration,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let command = PlainCommand::parse();
    let standin = PlainStandin::start(command.settings).await?;
    ReadyLine::new(vec![standin.address()])
        .print_and_wait(command.run_for)
        .await?;
    Ok(())
}
