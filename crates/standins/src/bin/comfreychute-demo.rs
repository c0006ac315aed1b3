//! Runs a whole fleet on loopback: platform, engines, a plain service and three nodes.

use std::error::Error;
use std::time::Duration;

use clap::Parser;
use comfreychute::unit::DurationText;
use comfreychute_standins::LocalFleet;
use comfreychute_standins::engine::EngineSettings;

/// Serves the example tables with a simulated platform and simulated upstreams in one process.
#[derive(Debug, Parser)]
struct DemoCommand {
    /// Time after which the process ends by itself.
    #[arg(long, default_value = "10m", value_parser = DurationText::parse)]
    run_for: Duration,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let command = DemoCommand::parse();
    let engine = EngineSettings {
        token_interval: Duration::from_millis(50),
        ..EngineSettings::default()
    };
    let fleet = LocalFleet::start(
        &engine,
        &[
            ("node-1", "north"),
            ("node-2", "north"),
            ("node-3", "south"),
        ],
    )
    .await?;
    println!("The fleet is ready. A streamed completion on adapter coop-7, version 1:\n");
    println!(
        "curl -N {} -H 'content-type: application/json' -H 'x-rank: urgent' \\\n  -d '{{\"model\":\"label/coop-7@1\",\"prompt\":\"check label 12\",\"stream\":true}}'\n",
        fleet.url("node-1", "/v1/completions")
    );
    println!("An order that runs at most once, however often it is sent:\n");
    println!(
        "curl {} -H 'idempotency-key: order-1' -H 'content-type: application/json' -d '{{\"plate\":12}}'\n",
        fleet.url("node-2", "/orders")
    );
    println!(
        "The state of a node: curl http://{}/state",
        fleet.nodes["node-3"].admin_address()
    );
    println!(
        "Ctrl-C ends the fleet; it ends by itself after {}.",
        DurationText::format(command.run_for)
    );
    tokio::select! {
        result = tokio::signal::ctrl_c() => result?,
        () = tokio::time::sleep(command.run_for) => {}
    }
    Ok(())
}
