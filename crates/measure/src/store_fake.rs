use std::time::Duration;

use comfreychute::table::StoreRow;

/// The weight store: starts loads at its rate and slows down when too many are in flight.
#[derive(Debug)]
pub(crate) struct StoreFake {
    row: StoreRow,
    speed: f64,
    next_start: Duration,
    in_flight: u32,
}

impl StoreFake {
    pub(crate) fn new(row: &StoreRow) -> Self {
        Self {
            row: row.clone(),
            speed: 1.0,
            next_start: Duration::ZERO,
            in_flight: 0,
        }
    }

    pub(crate) const fn set_speed(&mut self, speed: f64) {
        self.speed = speed;
    }

    /// Takes a load order and returns when the load ends.
    ///
    /// Orders beyond the rate wait inside the store; a full burst passes at once.
    pub(crate) fn start(&mut self, now: Duration) -> Duration {
        self.in_flight += 1;
        let gap = Duration::from_secs_f64(1.0 / (self.row.loads_per_second * self.speed));
        // One more than the burst, because grants reach the store with varying network delays.
        let slack = gap * (self.row.parallel + 1);
        let start = self.next_start.max(now.saturating_sub(slack));
        self.next_start = start + gap;
        let excess = f64::from(self.in_flight) / f64::from(self.row.max_in_flight.max(1));
        let took = self.row.load_time.as_secs_f64() / self.speed * excess.max(1.0);
        start.max(now) + Duration::from_secs_f64(took)
    }

    pub(crate) const fn end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}
