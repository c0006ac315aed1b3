use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;

use super::OwnerCall;

/// A queued or dispatched call and its state at the owner.
#[derive(Debug)]
pub(super) struct TrackedCall {
    pub call: Arc<OwnerCall>,
    /// Identifies the content of the request across resends.
    pub fingerprint: u64,
    /// When the call was queued or reattached.
    pub offered_at: Duration,
    pub is_dispatched: bool,
    /// Whether the adapter was not resident when the call arrived.
    pub is_stalled: bool,
    /// Whether the engine restarted while it was running the call.
    pub has_crashed: bool,
    /// Notified when the scheduler preempts the call or a new run replaces this one.
    pub preempted: Arc<Notify>,
}

impl TrackedCall {
    /// Creates the state of a call that is not yet dispatched.
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
