//! Sends requests at a fixed rate and prints the latencies as JSON.

use std::error::Error;

use clap::Parser;
use comfreychute_standins::load::{LoadRun, LoadSettings};

/// Sends completions or plain calls at a fixed rate; with `--direct` it compares two paths.
#[derive(Debug, Parser)]
struct LoadCommand {
    #[command(flatten)]
    settings: LoadSettings,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let settings = LoadCommand::parse().settings;
    let direct = settings.direct;
    let run = LoadRun::new(settings)?;
    let summary = match direct {
        Some(direct) => serde_json::to_string_pretty(&run.compare(direct).await?)?,
        None => serde_json::to_string_pretty(&run.measure().await?)?,
    };
    println!("{summary}");
    Ok(())
}
