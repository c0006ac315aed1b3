use std::time::Duration;

use crate::id::InstanceId;

/// Permission to start one load.
///
/// Must be returned with [`PermitClient::release`](super::PermitClient::release).
#[derive(Debug, Clone, PartialEq, Eq)]
#[must_use = "a permit that is not released counts as in flight for the longest possible load"]
pub struct LoadPermit {
    pub(super) store: String,
    pub(super) number: u64,
    pub(super) holder: InstanceId,
    pub(super) valid_until: Duration,
}

impl LoadPermit {
    /// Returns whether the load may still be started.
    #[must_use]
    pub fn is_valid(&self, now: Duration) -> bool {
        now < self.valid_until
    }

    /// Returns the number that identifies the permit at its holder.
    #[must_use]
    pub const fn number(&self) -> u64 {
        self.number
    }
}
