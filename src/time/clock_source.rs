use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Tells the time since a fixed start; virtual in measurements and tests of decisions.
///
/// The real clock is the operating system's clock of the time since its start. It never jumps and
/// goes on while the process is stopped or the machine is suspended, so that a lease held by a
/// paused process lapses; the ordinary monotonic clock stands still in a suspended machine.
#[derive(Debug, Clone)]
pub struct ClockSource {
    kind: ClockKind,
}

#[derive(Debug, Clone)]
enum ClockKind {
    /// The reading at the start.
    Boot(Duration),
    Virtual(Arc<AtomicU64>),
}

impl ClockSource {
    /// Creates a clock that follows the operating system.
    #[must_use]
    pub fn monotonic() -> Self {
        Self {
            kind: ClockKind::Boot(boot_time()),
        }
    }

    /// Creates a clock that stands at zero until it is moved.
    #[must_use]
    pub fn virtual_time() -> Self {
        Self {
            kind: ClockKind::Virtual(Arc::new(AtomicU64::new(0))),
        }
    }

    /// Returns the time since the start of the clock.
    #[must_use]
    pub fn now(&self) -> Duration {
        match &self.kind {
            ClockKind::Boot(start) => boot_time().saturating_sub(*start),
            ClockKind::Virtual(nanos) => Duration::from_nanos(nanos.load(Ordering::Acquire)),
        }
    }

    /// Moves a virtual clock forward; the real clock ignores the call.
    pub fn advance(&self, step: Duration) {
        if let ClockKind::Virtual(nanos) = &self.kind {
            nanos.fetch_add(
                u64::try_from(step.as_nanos()).unwrap_or(u64::MAX),
                Ordering::AcqRel,
            );
        }
    }
}

fn boot_time() -> Duration {
    let reading = clock_gettime(ClockId::Boottime);
    // The reading is never negative and its nanoseconds are below a second.
    Duration::new(
        u64::try_from(reading.tv_sec).unwrap_or_default(),
        u32::try_from(reading.tv_nsec).unwrap_or_default(),
    )
}
