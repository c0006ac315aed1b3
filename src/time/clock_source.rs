use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Measures the time since its creation; virtual in simulations and tests of policies.
///
/// The real clock is `CLOCK_BOOTTIME`, the operating system's time since boot. It never jumps and
/// continues while the process is stopped or the machine is suspended, so that the lease of a
/// paused process expires. `CLOCK_MONOTONIC` stops while the machine is suspended.
#[derive(Debug, Clone)]
pub struct ClockSource {
    kind: ClockKind,
}

#[derive(Debug, Clone)]
enum ClockKind {
    /// The time since boot at which the clock was created.
    Boot(Duration),
    /// The time of the virtual clock in nanoseconds.
    Virtual(Arc<AtomicU64>),
}

impl ClockSource {
    /// Creates a real clock, which reads `CLOCK_BOOTTIME`.
    #[must_use]
    pub fn monotonic() -> Self {
        Self {
            kind: ClockKind::Boot(boot_time()),
        }
    }

    /// Creates a virtual clock that stays at zero until [`ClockSource::advance`] is called.
    #[must_use]
    pub fn virtual_time() -> Self {
        Self {
            kind: ClockKind::Virtual(Arc::new(AtomicU64::new(0))),
        }
    }

    /// Returns the time since the clock was created, or the time of a virtual clock.
    #[must_use]
    pub fn now(&self) -> Duration {
        match &self.kind {
            ClockKind::Boot(start) => boot_time().saturating_sub(*start),
            ClockKind::Virtual(nanos) => Duration::from_nanos(nanos.load(Ordering::Acquire)),
        }
    }

    /// Advances a virtual clock by `step`; has no effect on the real clock.
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
    // `tv_sec` is never negative and `tv_nsec` is below one second, so neither conversion fails.
    Duration::new(
        u64::try_from(reading.tv_sec).unwrap_or_default(),
        u32::try_from(reading.tv_nsec).unwrap_or_default(),
    )
}
