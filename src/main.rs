//! The `comfreychute` program, which parses the command line and runs the subcommand.

use std::process::ExitCode;

use clap::Parser;
use comfreychute::command::CommandLine;

#[tokio::main]
async fn main() -> ExitCode {
    CommandLine::parse().run().await.print()
}
