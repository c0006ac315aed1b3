use std::time::Duration;

use super::{ChangeRelay, ObjectKind};
use crate::peer::ChangeReply;

/// The age of the last call that the store is known to have accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ContactAge {
    /// Time since the call was sent.
    pub called: Duration,
    /// Time since its response arrived. A call that waits is answered also while the store rejects
    /// others, so that the response alone does not show that the store accepts calls.
    pub answered: Duration,
}

impl ContactAge {
    /// Returns the age that a reply of a peer states, or the highest possible one if it states none.
    #[must_use]
    pub fn from_reply(reply: &ChangeReply, kind: ObjectKind) -> Self {
        let limit = ChangeRelay::reply_age_limit(kind);
        let to_age = |millis: u32| Duration::from_millis(u64::from(millis));
        Self {
            called: reply.call_age_ms.map_or(limit + kind.watch_wait(), to_age),
            answered: reply.answer_age_ms.map_or(limit, to_age),
        }
    }
}
