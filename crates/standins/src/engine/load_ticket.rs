use std::time::Duration;

use tokio::time::{Instant, sleep_until};

use super::WeightStore;

/// The part of a load after which its speed is adjusted to the loads in flight.
const STEP: Duration = Duration::from_millis(5);

/// A load in flight at a weight store; it ends when the ticket is dropped.
#[derive(Debug)]
pub(super) struct LoadTicket {
    store: WeightStore,
    /// The factor by which the load is slower because too many loads started within a second.
    rate_factor: f64,
    /// Number of loads in flight that run at full speed; zero: any.
    full_speed: u32,
}

impl LoadTicket {
    pub(super) const fn new(store: WeightStore, rate_factor: f64, full_speed: u32) -> Self {
        Self {
            store,
            rate_factor,
            full_speed,
        }
    }

    /// Waits until a load that takes `load_time` at full speed is done.
    pub(super) async fn run(self, load_time: Duration) {
        let mut rest = load_time;
        let mut due = Instant::now();
        while !rest.is_zero() {
            let step = rest.min(STEP);
            rest -= step;
            due += step.mul_f64(self.slowdown());
            sleep_until(due).await;
        }
    }

    fn slowdown(&self) -> f64 {
        if self.full_speed == 0 {
            return self.rate_factor;
        }
        let in_flight = f64::from(self.store.in_flight());
        self.rate_factor.max(in_flight / f64::from(self.full_speed))
    }
}

impl Drop for LoadTicket {
    fn drop(&mut self) {
        self.store.end();
    }
}
