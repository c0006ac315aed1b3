use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use tokio_util::sync::CancellationToken;

use super::memory_budget::BudgetState;
use super::{BodyOwner, HeldState, MemoryBudget};
use crate::policy::HolderPhase;

/// The share of one connection in the budget, returned when it is dropped.
#[derive(Debug)]
pub struct MemoryGrant {
    budget: Arc<MemoryBudget>,
    id: u64,
    shed: CancellationToken,
    close: CancellationToken,
}

/// the memory for callers is used up, and this request was unfinished
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub struct ShedError;

impl std::error::Error for ShedError {}

/// First capacity of a body, also if a greater length is announced, which alone must not take memory.
const FIRST_CAPACITY: usize = 64 * 1024;

impl MemoryGrant {
    pub(super) fn new(budget: Arc<MemoryBudget>, id: u64, held: &HeldState) -> Self {
        Self {
            budget,
            id,
            shed: held.shed.clone(),
            close: held.close.clone(),
        }
    }

    /// Waits until the connection has to be closed.
    pub async fn closed(&self) {
        self.close.cancelled().await;
    }

    /// Returns whether the connection has to be closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.close.is_cancelled()
    }

    /// Waits until the unfinished body has been shed.
    pub async fn shed(&self) {
        self.shed.cancelled().await;
    }

    /// Records that the head of a request is complete; its body follows.
    ///
    /// Returns whether the head was sent ahead: it had arrived before the answer to the request before it
    /// was handed over.
    #[must_use]
    pub fn begin_request(&self) -> bool {
        let mut state = self.budget.lock();
        let mut is_sent_ahead = false;
        self.update(&mut state, |held| {
            held.phase = HolderPhase::Arriving;
            held.has_request = true;
            is_sent_ahead = held.head == 0;
        });
        is_sent_ahead
    }

    /// Returns the time since bytes last passed in either direction.
    #[must_use]
    pub fn still_time(&self) -> Duration {
        let now = self.budget.now();
        let state = self.budget.lock();
        let held = state.holders.get(&self.id);
        held.map_or(Duration::ZERO, |held| now.saturating_sub(held.moved_at))
    }

    /// Charges bytes of a request's head, which has arrived in part.
    ///
    /// # Errors
    ///
    /// Fails if the memory is used up and no other connection can be shed.
    pub fn add_head(&self, bytes: usize) -> Result<(), ShedError> {
        let mut state = self.budget.lock();
        self.update(&mut state, |held| held.phase = HolderPhase::Arriving);
        if !self.budget.charge(&mut state, self.id, bytes) {
            drop(state);
            self.budget.report("memory");
            return Err(ShedError);
        }
        self.update(&mut state, |held| held.head += bytes);
        Ok(())
    }

    /// Appends a part of a body that will have at most `most` bytes.
    ///
    /// # Errors
    ///
    /// Fails if the body has been shed, or if no memory is left for it.
    pub fn append_body(&self, part: &[u8], most: usize) -> Result<(), ShedError> {
        let mut state = self.budget.lock();
        let held = state.holders.get(&self.id).ok_or(ShedError)?;
        if held.is_ended() {
            return Err(ShedError);
        }
        let (length, capacity) = (held.body.len(), held.body.capacity());
        let needed = length + part.len();
        if needed > capacity {
            let doubled = (2 * capacity).max(FIRST_CAPACITY).min(most).max(needed);
            if !self.budget.charge(&mut state, self.id, doubled - capacity) {
                drop(state.shed(self.id));
                drop(state);
                self.budget.report("memory");
                return Err(ShedError);
            }
            let mut grown = BytesMut::with_capacity(doubled);
            // The allocator may give more than was asked for.
            state.used += grown.capacity() - doubled;
            self.update(&mut state, |held| {
                grown.extend_from_slice(&held.body);
                held.body = grown;
            });
        }
        self.update(&mut state, |held| held.body.extend_from_slice(part));
        Ok(())
    }

    /// Takes the complete body. It stays charged until the last copy of the returned bytes is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the body has been shed.
    pub fn finish_body(&self) -> Result<Bytes, ShedError> {
        let mut state = self.budget.lock();
        let held = state.holders.get_mut(&self.id).ok_or(ShedError)?;
        if held.is_ended() {
            return Err(ShedError);
        }
        held.phase = HolderPhase::Served;
        held.moved_at = self.budget.now();
        let body = std::mem::take(&mut held.body);
        drop(state);
        Ok(Bytes::from_owner(BodyOwner::new(
            Arc::clone(&self.budget),
            body,
        )))
    }

    /// Returns the memory of a body that isn't read to its end.
    pub fn discard_body(&self) {
        let mut state = self.budget.lock();
        let body = state.holders.get_mut(&self.id);
        let body = body.map(|held| std::mem::take(&mut held.body));
        state.used -= body.as_ref().map_or(0, BytesMut::capacity);
    }

    /// Charges bytes of an answer that the caller has not taken yet, also beyond the limit: they exist
    /// already, and the connection limits bound them.
    pub fn add_answer(&self, bytes: usize) {
        let mut state = self.budget.lock();
        if !self.budget.charge(&mut state, self.id, bytes) {
            state.used += bytes;
        }
        self.update(&mut state, |held| held.answer += bytes);
    }

    /// Returns the charge of bytes of an answer that the kernel has taken.
    pub fn record_written(&self, bytes: usize) {
        let mut state = self.budget.lock();
        let mut returned = 0;
        self.update(&mut state, |held| {
            if held.phase == HolderPhase::Blocked {
                held.phase = if held.has_request {
                    HolderPhase::Served
                } else {
                    HolderPhase::Idle
                };
            }
            returned = bytes.min(held.answer);
            held.answer -= returned;
        });
        state.used -= returned;
    }

    /// Charges the incomplete event of a stream with `bytes` in place of what it had before, also beyond
    /// the limit. Returns whether memory is short, so that the event has to be passed on in pieces.
    #[must_use]
    pub fn set_event(&self, bytes: usize) -> bool {
        let mut state = self.budget.lock();
        let Some(held) = state.holders.get(&self.id) else {
            return false;
        };
        let former = held.event;
        if bytes == former {
            return false;
        }
        let is_covered = bytes < former || self.budget.charge(&mut state, self.id, bytes - former);
        if bytes < former {
            state.used -= former - bytes;
        } else if !is_covered {
            state.used += bytes - former;
        }
        if let Some(held) = state.holders.get_mut(&self.id) {
            held.event = bytes;
        }
        !is_covered
    }

    /// Records that the caller doesn't read its answer at present.
    pub fn record_blocked(&self) {
        let mut state = self.budget.lock();
        let held = state.holders.get_mut(&self.id);
        if let Some(held) = held.filter(|held| held.phase != HolderPhase::Blocked) {
            held.moved_at = self.budget.now();
            held.phase = HolderPhase::Blocked;
        }
    }

    /// Records that the answer has been handed over, after which the connection is idle.
    pub fn end_request(&self) {
        let mut state = self.budget.lock();
        let mut returned = 0;
        self.update(&mut state, |held| {
            held.has_request = false;
            if held.phase != HolderPhase::Blocked {
                held.phase = HolderPhase::Idle;
            }
            returned = std::mem::take(&mut held.head) + std::mem::take(&mut held.event);
        });
        state.used -= returned;
    }

    fn update(&self, state: &mut BudgetState, change: impl FnOnce(&mut HeldState)) {
        let now = self.budget.now();
        if let Some(held) = state.holders.get_mut(&self.id) {
            held.moved_at = now;
            change(held);
        }
    }
}

impl Drop for MemoryGrant {
    fn drop(&mut self) {
        let mut state = self.budget.lock();
        if let Some(held) = state.holders.remove(&self.id) {
            state.used -= held.bytes();
        }
        drop(state);
        self.budget.ended.notify_one();
    }
}
