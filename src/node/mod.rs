//! Wires the parts of a node together, from startup to graceful shutdown.

use crate::error::{Error, ErrorKind, Result};
use crate::settings::NodeSettings;

/// Runs a node until it is told to stop.
///
/// # Errors
///
/// Fails if a part cannot be started.
#[expect(clippy::unused_async, reason = "the wiring of the parts awaits them")]
pub async fn run(settings: NodeSettings) -> Result<()> {
    Err(Error::new(
        ErrorKind::Internal,
        format!("node {} has no parts to run yet", settings.instance.name),
    ))
}
