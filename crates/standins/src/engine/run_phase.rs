/// The state of one run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RunPhase {
    /// In the queue.
    Waiting,
    /// Generating tokens.
    Running,
    /// Cancelled; a resume queues it again.
    Cancelled,
    /// All tokens were generated.
    Finished,
}
