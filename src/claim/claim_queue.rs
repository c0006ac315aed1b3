use std::collections::{BTreeSet, VecDeque};

use super::waiting_change::WaitingChange;
use crate::id::AttemptId;

/// The changes that wait for the object of one shard.
#[derive(Debug, Default)]
pub(super) struct ClaimQueue {
    pub(super) waiting: VecDeque<WaitingChange>,
    /// Attempts that will never be dispatched although their claim may be in the object.
    pub(super) withdrawn: BTreeSet<(u128, AttemptId)>,
    /// Whether a task works on the queue.
    pub(super) is_running: bool,
}

impl ClaimQueue {
    /// Adds a withdrawn attempt unless `limit` attempts wait already.
    ///
    /// An attempt left out stays in the object as pending, which blocks its key but is safe.
    pub(super) fn withdraw(&mut self, digest: u128, attempt: AttemptId, limit: usize) {
        if self.withdrawn.len() < limit {
            self.withdrawn.insert((digest, attempt));
        }
    }

    /// Takes the changes for the next write.
    pub(super) fn drain_batch(&mut self, limit: usize) -> Vec<WaitingChange> {
        let count = self.waiting.len().min(limit);
        self.waiting.drain(..count).collect()
    }

    /// Takes all claims; the ends of earlier claims stay.
    pub(super) fn drain_claims(&mut self) -> Vec<WaitingChange> {
        let (claims, others) = self.waiting.drain(..).partition(WaitingChange::is_claim);
        self.waiting = others;
        claims.into()
    }

    /// Removes a claim that has not been taken yet; returns whether it was there.
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
