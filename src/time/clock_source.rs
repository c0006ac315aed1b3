use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Tells the time since a fixed start; virtual in measurements and tests of decisions.
///
/// The real clock is the operating system's monotonic clock. It goes on while the process is
/// stopped, so that a lease held by a paused process lapses.
#[derive(Debug, Clone)]
pub struct ClockSource {
    kind: ClockKind,
}

#[derive(Debug, Clone)]
enum ClockKind {
    Monotonic(Instant),
    Virtual(Arc<AtomicU64>),
}

impl ClockSource {
    /// Creates a clock that follows the operating system.
    #[must_use]
    pub fn monotonic() -> Self {
        Self {
            kind: ClockKind::Monotonic(Instant::now()),
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
            ClockKind::Monotonic(start) => start.elapsed(),
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
