use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use super::load_ticket::LoadTicket;

/// The store that engines load weights from; it becomes slower beyond its limits.
///
/// Engines of one process can share a store, as the engines of a fleet do. The limits come from the
/// settings of the engine that loads, so that they can be changed at run time.
#[derive(Debug, Clone, Default)]
pub struct WeightStore {
    state: Arc<Mutex<StoreState>>,
}

#[derive(Debug, Default)]
struct StoreState {
    in_flight: u32,
    peak_in_flight: u32,
    peak_rate: usize,
    starts: VecDeque<Instant>,
}

impl WeightStore {
    /// Returns the highest number of loads that were in flight at the same time.
    #[must_use]
    pub fn peak_in_flight(&self) -> u32 {
        self.with(|state| state.peak_in_flight)
    }

    /// Returns the highest number of loads that started within one second.
    #[must_use]
    pub fn peak_rate(&self) -> usize {
        self.with(|state| state.peak_rate)
    }

    /// Registers a load that starts now.
    ///
    /// The store serves `rate` loads per second, and `full_speed` at a time, at full speed; beyond
    /// either limit a load takes proportionally longer. Zero: no limit.
    pub(super) fn begin(&self, rate: f64, full_speed: u32) -> LoadTicket {
        let starts = self.with(|state| {
            let now = Instant::now();
            while state
                .starts
                .front()
                .is_some_and(|start| now - *start >= Duration::from_secs(1))
            {
                state.starts.pop_front();
            }
            state.starts.push_back(now);
            state.in_flight += 1;
            state.peak_in_flight = state.peak_in_flight.max(state.in_flight);
            state.peak_rate = state.peak_rate.max(state.starts.len());
            state.starts.len()
        });
        let excess = if rate > 0.0 {
            f64::from(u32::try_from(starts).unwrap_or(u32::MAX)) / rate.max(1.0)
        } else {
            1.0
        };
        LoadTicket::new(self.clone(), excess.max(1.0), full_speed)
    }

    /// Returns the number of loads in flight.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.with(|state| state.in_flight)
    }

    /// Registers the end of a load.
    pub(super) fn end(&self) {
        self.with(|state| state.in_flight -= 1);
    }

    fn with<R>(&self, action: impl FnOnce(&mut StoreState) -> R) -> R {
        action(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
