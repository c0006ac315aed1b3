use std::time::Duration;

use crate::time::ClockSource;

/// The time before which a request must be written to its connection.
///
/// The sender's permission for the request ends then, so a request that has waited longer, for a
/// connection or because the process was paused, must not be sent any more.
#[derive(Debug, Clone)]
pub struct WriteLimit {
    /// The clock that measures `deadline`.
    pub clock: ClockSource,
    /// The end of the permission on that clock.
    pub deadline: Duration,
}

impl WriteLimit {
    /// Returns whether the permission has ended.
    #[must_use]
    pub fn has_passed(&self) -> bool {
        self.clock.now() >= self.deadline
    }
}
