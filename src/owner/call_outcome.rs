use crate::error::Error;

/// The result of running a call at the upstream.
#[derive(Debug)]
pub(super) enum CallOutcome {
    /// The complete answer was sent to the entry instance.
    Finished,
    /// The entry instance closed the call, or reattached to it with a new run.
    Abandoned,
    /// The scheduler preempted the call to admit more urgent work.
    Preempted,
    /// The call was refused before the dispatch, or its run failed.
    Failed(Error),
}
