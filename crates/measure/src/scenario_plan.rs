use std::time::Duration;

use crate::FaultKind;

/// A course of traffic and faults with the windows over which figures are taken.
#[derive(Debug, Clone)]
pub struct ScenarioPlan {
    /// The short name.
    pub name: &'static str,
    /// What happens.
    pub title: &'static str,
    /// Exponent of the popularity distribution.
    pub exponent: f64,
    /// Traffic by time, the first phase starting at zero.
    pub phases: Vec<TrafficPhase>,
    /// Faults by time.
    pub faults: Vec<(Duration, FaultKind)>,
    /// Windows of arrival times.
    pub windows: Vec<WindowSpan>,
    /// When arrivals end.
    pub end: Duration,
}

/// Arrival rates from a point in time on.
#[derive(Debug, Clone)]
pub struct TrafficPhase {
    /// When the phase starts.
    pub from: Duration,
    /// Requests per second, by rank.
    pub rates: [f64; 3],
}

/// A span of arrival times with a name.
#[derive(Debug, Clone)]
pub struct WindowSpan {
    /// The name: `before`, `during`, `after` or `steady`.
    pub name: &'static str,
    /// The start.
    pub from: Duration,
    /// The end, exclusive.
    pub to: Duration,
}

impl ScenarioPlan {
    /// Returns the rates at a time.
    #[must_use]
    pub fn rates_at(&self, now: Duration) -> [f64; 3] {
        self.phases
            .iter()
            .rev()
            .find(|phase| phase.from <= now)
            .map_or([0.0; 3], |phase| phase.rates)
    }

    /// Returns the index of the window that a time falls into.
    #[must_use]
    pub fn window_at(&self, now: Duration) -> Option<usize> {
        self.windows
            .iter()
            .position(|window| window.from <= now && now < window.to)
    }
}
