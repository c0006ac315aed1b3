use std::sync::Arc;

use super::claim_shard::ClaimShard;
use crate::id::AttemptId;

/// Withdraws a claim whose caller goes away before it learns the outcome.
///
/// Such a claim may be granted although nobody will dispatch the request.
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

    /// Leaves the claim as it is, because its caller has learned the outcome.
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
