use crate::error::Error;

/// How the run of a call at the upstream ended.
#[derive(Debug)]
pub(super) enum CallOutcome {
    /// The whole answer was delivered.
    Finished,
    /// The caller gave up.
    Abandoned,
    /// The scheduler took the slot back; the call returns to the queue.
    Preempted,
    /// The call failed.
    Failed(Error),
}
