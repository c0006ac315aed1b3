use std::sync::atomic::{AtomicU8, Ordering};

use crate::error::RunState;

const QUEUED: u8 = 0;
const WRITTEN: u8 = 1;
const CANCELLED: u8 = 2;

/// Whether a request or the first frame of a call was written, which decides the run state of a call
/// after a lost link.
#[derive(Debug, Default)]
pub(super) struct CallState(AtomicU8);

impl CallState {
    /// Marks the frame as written; returns `false` if it was already cancelled.
    pub(super) fn begin_write(&self) -> bool {
        self.move_to(WRITTEN)
    }

    /// Cancels a frame that was not written; returns `false` if it was already written.
    pub(super) fn cancel(&self) -> bool {
        self.move_to(CANCELLED)
    }

    pub(super) fn run_state(&self) -> RunState {
        if self.0.load(Ordering::Acquire) == WRITTEN {
            RunState::Unknown
        } else {
            RunState::NotRun
        }
    }

    fn move_to(&self, next: u8) -> bool {
        self.0
            .compare_exchange(QUEUED, next, Ordering::AcqRel, Ordering::Acquire)
            .is_ok()
    }
}
