use std::collections::{BTreeSet, VecDeque};

use super::waiting_change::WaitingChange;
use crate::id::AttemptId;

/// The changes that are queued for the object of one shard.
#[derive(Debug, Default)]
pub(super) struct ClaimQueue {
    pub(super) waiting: VecDeque<WaitingChange>,
    /// Attempts that will never be dispatched although the object may contain their claim.
    pub(super) withdrawn: BTreeSet<(u128, AttemptId)>,
    /// Whether a task is processing the queue.
    pub(super) is_running: bool,
}

impl ClaimQueue {
    /// Adds a withdrawn attempt unless `limit` attempts are queued already.
    ///
    /// The claim of an attempt that is not added may stay pending in the object. It then blocks its
    /// key until it expires, but permits no second run.
    pub(super) fn withdraw(&mut self, digest: u128, attempt: AttemptId, limit: usize) {
        if self.withdrawn.len() < limit {
            self.withdrawn.insert((digest, attempt));
        }
    }

    /// Removes and returns the changes for the next write, at most `limit`.
    pub(super) fn drain_batch(&mut self, limit: usize) -> Vec<WaitingChange> {
        let count = self.waiting.len().min(limit);
        self.waiting.drain(..count).collect()
    }

    /// Removes and returns all queued claims; finishes and abandons of earlier claims stay queued.
    pub(super) fn drain_claims(&mut self) -> Vec<WaitingChange> {
        let (claims, others) = self.waiting.drain(..).partition(WaitingChange::is_claim);
        self.waiting = others;
        claims.into()
    }

    /// Removes a claim that is still queued; returns whether it was found.
    pub(super) fn remove_claim(&mut self, digest: u128, attempt: AttemptId) -> bool {
        let position = self.waiting.iter().position(|waiting| {
            waiting.is_claim()
                && waiting.change.digest == digest
                && waiting.change.attempt == attempt
        });
        position
            .and_then(|index| self.waiting.remove(index))
            .is_some()
    }
}
