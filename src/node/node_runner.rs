use tokio::signal::unix::{SignalKind, signal};

use super::Node;
use crate::error::{Error, ErrorKind, Result};
use crate::settings::NodeSettings;

/// Runs a node until SIGTERM or SIGINT, then shuts it down; a second signal interrupts the
/// shutdown.
///
/// # Errors
///
/// Returns the error if the signal handlers, the start or the shutdown fail, and
/// [`ErrorKind::ShuttingDown`] if requests were interrupted.
pub async fn run(settings: NodeSettings) -> Result<()> {
    let limit = settings.limits.shutdown;
    let listen =
        |kind| signal(kind).map_err(|error| Error::new(ErrorKind::Internal, error.to_string()));
    let (mut terminate, mut interrupt) = (
        listen(SignalKind::terminate())?,
        listen(SignalKind::interrupt())?,
    );
    let node = Node::start(settings)?;
    let mut next_signal = async || {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    };
    next_signal().await;
    if node.shutdown(limit, next_signal()).await? {
        return Ok(());
    }
    Err(Error::new(
        ErrorKind::ShuttingDown,
        "requests in progress were interrupted",
    ))
}
