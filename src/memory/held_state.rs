use std::time::Duration;

use bytes::BytesMut;
use tokio_util::sync::CancellationToken;

use crate::policy::{HolderPhase, MemoryHolder};

/// What one connection holds of the budget.
#[derive(Debug)]
pub(super) struct HeldState {
    pub(super) phase: HolderPhase,
    /// Whether a request is in progress.
    pub(super) has_request: bool,
    pub(super) moved_at: Duration,
    /// Bytes of the heads that have been read since the last request ended.
    pub(super) head: usize,
    /// Bytes of the answer that the kernel has not taken yet.
    pub(super) answer: usize,
    /// Bytes of an event that is not complete yet.
    pub(super) event: usize,
    /// The body that is on its way. It is kept here, so that its memory is free as soon as it is shed.
    pub(super) body: BytesMut,
    /// Whether the body was shed.
    pub(super) is_shed: bool,
    /// Tells the reader of the body that it was shed.
    pub(super) shed: CancellationToken,
    /// Closes the connection.
    pub(super) close: CancellationToken,
}

impl HeldState {
    pub(super) fn new(moved_at: Duration) -> Self {
        Self {
            phase: HolderPhase::Idle,
            has_request: false,
            moved_at,
            head: 0,
            answer: 0,
            event: 0,
            body: BytesMut::new(),
            is_shed: false,
            shed: CancellationToken::new(),
            close: CancellationToken::new(),
        }
    }

    /// Returns the bytes that are charged.
    pub(super) fn bytes(&self) -> usize {
        self.head + self.answer + self.event + self.body.capacity()
    }

    /// Returns whether the body or the connection was shed, so that the request must not run.
    pub(super) fn is_ended(&self) -> bool {
        self.is_shed || self.close.is_cancelled()
    }

    /// Returns the view of the decisions.
    pub(super) fn holder(&self) -> MemoryHolder {
        MemoryHolder {
            bytes: self.bytes(),
            phase: self.phase,
            moved_at: self.moved_at,
        }
    }
}
