use comfreychute::id::{EngineName, RequestRank};
use tokio::sync::watch;
use tokio::task::AbortHandle;

use super::run_progress::RunProgress;

/// One attempt that the engine knows.
#[derive(Debug)]
pub(super) struct EngineRun {
    pub(super) name: EngineName,
    pub(super) rank: RequestRank,
    pub(super) prompt: u64,
    pub(super) tokens: u64,
    /// Whether it restarts the engine as soon as it runs.
    pub(super) is_crashing: bool,
    /// Readers see its end when the run is removed.
    pub(super) progress: watch::Sender<RunProgress>,
    /// The task that generates tokens.
    pub(super) task: Option<AbortHandle>,
    /// The number of connections that read it.
    pub(super) readers: u32,
    /// Counts the times a reader came or went, so that an old expiry does nothing.
    pub(super) touches: u64,
}
