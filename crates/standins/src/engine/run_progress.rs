use super::run_phase::RunPhase;

/// What readers of a run need to know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RunProgress {
    /// The state.
    pub(super) phase: RunPhase,
    /// The number of tokens that were generated.
    pub(super) produced: u64,
    /// Counts orders to cut the connections of all readers.
    pub(super) cuts: u64,
}
