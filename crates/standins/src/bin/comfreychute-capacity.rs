//! Measures what a node costs in a fleet of a given size and prints the figures as JSON.

use std::error::Error;

use clap::Parser;
use comfreychute_standins::capacity::{CapacityRun, CapacitySettings};

/// Runs nodes in one failure domain on loopback, first idle and then with changes of the tables.
#[derive(Debug, Parser)]
struct CapacityCommand {
    #[command(flatten)]
    settings: CapacitySettings,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let figures = CapacityRun::new(CapacityCommand::parse().settings)
        .measure()
        .await?;
    println!("{}", serde_json::to_string(&figures)?);
    Ok(())
}
