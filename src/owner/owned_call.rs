use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;

use super::OwnerCall;

/// A call in the hands of an owner, queued or dispatched.
#[derive(Debug)]
pub(super) struct OwnedCall {
    /// The call.
    pub call: Arc<OwnerCall>,
    /// Identifies the content of the request across resends.
    pub fingerprint: u64,
    /// When the owner took the call.
    pub offered_at: Duration,
    /// Whether the call was dispatched.
    pub is_dispatched: bool,
    /// Whether the adapter was not resident when the call came.
    pub is_stalled: bool,
    /// Whether the engine restarted while it ran the call.
    pub has_crashed: bool,
    /// Wakes the runner when the scheduler preempts the call.
    pub preempted: Arc<Notify>,
}

impl OwnedCall {
    /// Wraps a call that has just come.
    pub fn new(call: &Arc<OwnerCall>, fingerprint: u64, is_stalled: bool, now: Duration) -> Self {
        Self {
            call: Arc::clone(call),
            fingerprint,
            offered_at: now,
            is_dispatched: false,
            is_stalled,
            has_crashed: false,
            preempted: Arc::new(Notify::new()),
        }
    }
}
