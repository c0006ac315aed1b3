use std::io::{self, Write as _};
use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;

/// The line that a stand-in binary prints when it accepts connections.
#[derive(Debug, Serialize)]
pub struct ReadyLine {
    /// The first bound address.
    pub address: SocketAddr,
    /// All bound addresses.
    pub addresses: Vec<SocketAddr>,
}

impl ReadyLine {
    /// Describes the servers that a process started.
    ///
    /// # Panics
    ///
    /// Panics if there is no address.
    #[must_use]
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        Self {
            address: *addresses.first().expect("at least one server was started"),
            addresses,
        }
    }

    /// Prints the line and waits for an interrupt or the end of `run_for`.
    ///
    /// # Errors
    ///
    /// Fails if standard output is closed or signals can't be received.
    pub async fn print_and_wait(&self, run_for: Duration) -> io::Result<()> {
        let line = serde_json::to_string(self)?;
        writeln!(io::stdout(), "{line}")?;
        io::stdout().flush()?;
        let mut terminate =
            tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
        tokio::select! {
            outcome = tokio::signal::ctrl_c() => outcome,
            _ = terminate.recv() => Ok(()),
            () = tokio::time::sleep(run_for) => Ok(()),
        }
    }
}
