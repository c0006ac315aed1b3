use std::time::Duration;

use tokio::time::Instant;

/// Until when a process that shuts down sends requests to upstreams.
///
/// A request that is cut off at the exit costs its caller more than an immediate refusal, after
/// which another instance serves it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownPlan {
    exit: Instant,
    cutoff: Instant,
}

/// Time within which nearly all streams complete, from the request to the last event.
const TYPICAL_STREAM_DURATION: Duration = Duration::from_secs(5);

/// Time for which the load balancer may still send new callers after a shutdown has begun: it checks
/// the readiness once a second, and acts on the second failure.
const BALANCER_DELAY: Duration = Duration::from_secs(3);

impl ShutdownPlan {
    /// Creates the plan of a shutdown that begins `now` and ends with the `exit` of the process.
    #[must_use]
    pub fn new(now: Instant, exit: Instant) -> Self {
        let last_start = exit.checked_sub(TYPICAL_STREAM_DURATION).unwrap_or(now);
        Self {
            exit,
            cutoff: last_start.min(now + BALANCER_DELAY),
        }
    }

    /// Returns the time at which the process exits.
    #[must_use]
    pub const fn exit(&self) -> Instant {
        self.exit
    }

    /// Returns the time from which on only requests are sent that [`Self::fits`] holds for.
    #[must_use]
    pub const fn cutoff(&self) -> Instant {
        self.cutoff
    }

    /// Returns whether a request with this deadline certainly ends before the exit.
    #[must_use]
    pub fn fits(&self, deadline: Instant) -> bool {
        deadline < self.exit
    }

    /// Returns whether a request with this deadline may be sent `now`, as it ends before the exit or
    /// probably does.
    #[must_use]
    pub fn may_send(&self, deadline: Instant, now: Instant) -> bool {
        self.fits(deadline) || now < self.cutoff
    }
}
