//! The command line of comfreychute.

use std::process::ExitCode;

use clap::Parser;
use comfreychute::command::CommandLine;

#[tokio::main]
async fn main() -> ExitCode {
    CommandLine::parse().run().await.print()
}
