use std::time::Duration;

use super::STALL_TIME;

/// Returns whether a body is late because its caller has stopped sending: nothing has arrived for the time
/// `still`, which is [`STALL_TIME`] or half of the time that was `allowed` for the body.
///
/// This answers crowds of complete bodies, which a process reads by turns and not all in time. Their callers
/// have done what they should and are told when to come back.
#[must_use]
pub fn has_stopped_sending(still: Duration, allowed: Duration) -> bool {
    still >= STALL_TIME.min(allowed / 2)
}
