use std::sync::Arc;

use super::claim_shard::ClaimShard;
use crate::id::AttemptId;

/// Withdraws a claim if its caller stops waiting before it receives the outcome.
///
/// Such a claim may be granted although its request will never be dispatched.
#[derive(Debug)]
pub(super) struct ClaimGuard<'a> {
    shard: &'a Arc<ClaimShard>,
    digest: u128,
    attempt: AttemptId,
    is_armed: bool,
}

impl<'a> ClaimGuard<'a> {
    pub(super) const fn new(shard: &'a Arc<ClaimShard>, digest: u128, attempt: AttemptId) -> Self {
        Self {
            shard,
            digest,
            attempt,
            is_armed: true,
        }
    }

    /// Keeps the claim, because its caller has received the outcome.
    pub(super) fn disarm(mut self) {
        self.is_armed = false;
    }
}

impl Drop for ClaimGuard<'_> {
    fn drop(&mut self) {
        if self.is_armed {
            self.shard.withdraw(self.digest, self.attempt);
        }
    }
}
