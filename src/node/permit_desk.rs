use std::sync::atomic::{AtomicU64, Ordering};

use crate::peer::{PermitDone, PermitGrant, reply};

/// Grants load permits without a limit, as long as no permit holder is wired in.
#[derive(Debug, Default)]
pub(super) struct PermitDesk {
    granted: AtomicU64,
    returned: AtomicU64,
}

impl PermitDesk {
    /// Answers the bid of a peer.
    pub fn answer(&self) -> reply::Body {
        reply::Body::Grant(PermitGrant {
            permit: self.ask(),
            valid_ms: 1_000,
        })
    }

    /// Grants a permit.
    pub fn ask(&self) -> u64 {
        self.granted.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Takes a permit back.
    pub fn take_back(&self, _done: &PermitDone) {
        self.returned.fetch_add(1, Ordering::Relaxed);
    }
}
