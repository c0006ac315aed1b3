use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use comfreychute::id::RequestRank;

use crate::request_state::RequestState;
use crate::site_plan::{DEADLINES, MEAN_TOKENS};
use crate::zipf_table::ZipfTable;
use crate::{FaultKind, ScenarioPlan, SitePlan};

/// Callers of each rank; a surge comes from the callers of its rank.
const CALLERS: usize = 12;

/// Draws the requests of a scenario in order of arrival.
///
/// The draw depends only on the scenario and the seed, so all policies see the same requests.
#[derive(Debug)]
pub(crate) struct TrafficSource<'a> {
    plan: &'a ScenarioPlan,
    site: &'a SitePlan,
    table: ZipfTable,
    /// Adapter at each place of the popularity order.
    order: Vec<usize>,
    shift_at: Option<Duration>,
    random: StdRng,
    now: Duration,
}

impl<'a> TrafficSource<'a> {
    pub(crate) fn new(plan: &'a ScenarioPlan, site: &'a SitePlan, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let mut order: Vec<usize> = (0..site.adapters).collect();
        for index in (1..order.len()).rev() {
            order.swap(index, random.random_range(0..=index));
        }
        let shift_at = plan
            .faults
            .iter()
            .find(|(_, fault)| *fault == FaultKind::PopularityShift)
            .map(|(at, _)| *at);
        Self {
            plan,
            site,
            table: ZipfTable::new(site.adapters, plan.exponent),
            order,
            shift_at,
            random,
            now: Duration::ZERO,
        }
    }

    /// Draws a batch request for one adapter, as part of a sweep.
    pub(crate) fn sweep_request(&mut self, adapter: usize, now: Duration) -> RequestState {
        let mut request = self.request(RequestRank::Batch, adapter, now);
        request.deadline = now + Duration::from_hours(8);
        request.is_sweep = true;
        request
    }

    fn request(&mut self, rank: RequestRank, adapter: usize, now: Duration) -> RequestState {
        let mean = f64::from(MEAN_TOKENS[rank.index()]);
        let size = mean * self.random.random_range(0.5..1.5);
        RequestState {
            arrived_at: now,
            rank,
            adapter,
            caller: rank.index() * CALLERS + self.random.random_range(0..CALLERS),
            deadline: now + DEADLINES[rank.index()],
            size,
            tokens: size,
            entry: self.random.random_range(0..self.site.entries),
            worker: 0,
            attempt: 0,
            dispatched_at: Duration::ZERO,
            is_running: false,
            is_stalled: false,
            is_sweep: false,
        }
    }

    /// Moves to the next arrival; a step that crosses into another phase starts again there.
    fn next_arrival(&mut self) -> Option<RequestRank> {
        loop {
            let rates = self.plan.rates_at(self.now);
            let total: f64 = rates.iter().sum();
            if total <= 0.0 {
                return None;
            }
            let step = -self.random.random::<f64>().max(1e-12).ln() / total;
            let next = self.now + Duration::from_secs_f64(step);
            let boundary = self
                .plan
                .phases
                .iter()
                .map(|phase| phase.from)
                .find(|from| *from > self.now);
            if let Some(boundary) = boundary.filter(|boundary| next >= *boundary) {
                self.now = boundary;
                continue;
            }
            self.now = next;
            if next >= self.plan.end {
                return None;
            }
            let mut point = self.random.random::<f64>() * total;
            for rank in RequestRank::ALL {
                point -= rates[rank.index()];
                if point < 0.0 {
                    return Some(rank);
                }
            }
            return Some(RequestRank::Batch);
        }
    }
}

impl Iterator for TrafficSource<'_> {
    type Item = RequestState;

    fn next(&mut self) -> Option<RequestState> {
        let rank = self.next_arrival()?;
        let mut place = self.table.draw(&mut self.random);
        if self.shift_at.is_some_and(|at| self.now >= at) {
            place = self.order.len() - 1 - place;
        }
        let adapter = self.order[place];
        Some(self.request(rank, adapter, self.now))
    }
}
