use std::time::Duration;

use hdrhistogram::Histogram;

use comfreychute::id::RequestRank;

use crate::request_state::RequestState;
use crate::site_plan::as_f64;
use crate::{RankFigures, RunFigures, ScenarioPlan, SitePlan, WindowFigures};

/// Length of a slice of the curves in plots.
const SLICE: f64 = 10.0;

/// Length of a slice of the stall share.
const STALL_SLICE: f64 = 30.0;

/// Collects figures during a run.
#[derive(Debug)]
pub(crate) struct RunRecord<'a> {
    plan: &'a ScenarioPlan,
    site: &'a SitePlan,
    windows: Vec<WindowRecord>,
    loads: Vec<Duration>,
    served_slices: Vec<[f64; 3]>,
    stalled_slices: Vec<f64>,
    measured_to: Duration,
    sweep: (u64, u64, Duration, Duration),
    unfinished: u64,
}

#[derive(Debug)]
struct WindowRecord {
    figures: WindowFigures,
    waits: [Histogram<u64>; 3],
    dispatched: u64,
    filled: f64,
    possible: f64,
    stalls: Vec<(f64, f64)>,
    asked_tokens: [f64; 3],
}

impl<'a> RunRecord<'a> {
    pub(crate) fn new(plan: &'a ScenarioPlan, site: &'a SitePlan) -> Self {
        let windows = plan
            .windows
            .iter()
            .map(|window| WindowRecord {
                figures: WindowFigures {
                    name: window.name.to_owned(),
                    seconds: window.to.saturating_sub(window.from).as_secs_f64(),
                    ..WindowFigures::default()
                },
                waits: [(); 3].map(|()| histogram()),
                dispatched: 0,
                filled: 0.0,
                possible: 0.0,
                stalls: Vec::new(),
                asked_tokens: [0.0; 3],
            })
            .collect();
        Self {
            plan,
            site,
            windows,
            loads: Vec::new(),
            served_slices: Vec::new(),
            stalled_slices: Vec::new(),
            measured_to: Duration::ZERO,
            sweep: (0, 0, Duration::ZERO, Duration::ZERO),
            unfinished: 0,
        }
    }

    pub(crate) fn arrived(&mut self, request: &RequestState) {
        if request.is_sweep {
            self.sweep.0 += 1;
            self.sweep.2 = request.arrived_at;
        }
        if let Some(index) = self.plan.window_at(request.arrived_at) {
            let rank = request.rank.index();
            self.windows[index].figures.ranks[rank].offered += 1;
            self.windows[index].asked_tokens[rank] += request.tokens;
        }
    }

    /// Notes that a request reached its worker while its adapter was not resident.
    pub(crate) fn stalled(&mut self, request: &RequestState) {
        if let Some(ranks) = self.ranks_at(request.arrived_at) {
            ranks[request.rank.index()].stalled += 1;
        }
        let slice = slice_of(request.arrived_at, SLICE);
        grow(&mut self.stalled_slices, slice, 0.0);
        self.stalled_slices[slice] += 1.0 / SLICE;
    }

    /// Notes the first dispatch of a request.
    pub(crate) fn dispatched(&mut self, request: &RequestState, now: Duration) {
        if let Some(index) = self.plan.window_at(request.arrived_at) {
            let wait = now.saturating_sub(request.arrived_at).as_micros();
            let wait = u64::try_from(wait).unwrap_or(u64::MAX);
            self.windows[index].waits[request.rank.index()].saturating_record(wait);
        }
        if let Some(index) = self.plan.window_at(now) {
            let window = &mut self.windows[index];
            window.dispatched += 1;
            let slice = slice_of(
                now.saturating_sub(self.plan.windows[index].from),
                STALL_SLICE,
            );
            grow(&mut window.stalls, slice, (0.0, 0.0));
            window.stalls[slice].0 += 1.0;
            window.stalls[slice].1 += f64::from(u8::from(request.is_stalled));
        }
        let slice = slice_of(now, SLICE);
        grow(&mut self.served_slices, slice, [0.0; 3]);
        self.served_slices[slice][request.rank.index()] += 1.0 / SLICE;
    }

    /// Notes tokens produced by an engine.
    pub(crate) fn produced(&mut self, rank: RequestRank, tokens: f64, now: Duration) {
        if let Some(ranks) = self.ranks_at(now) {
            ranks[rank.index()].tokens += tokens;
        }
    }

    /// Notes a complete answer.
    pub(crate) fn finished(&mut self, request: &RequestState, now: Duration) {
        if now <= request.deadline
            && let Some(index) = self.plan.window_at(now)
        {
            self.windows[index].figures.goodput += request.size;
        }
        if request.is_sweep {
            self.sweep.1 += 1;
            self.sweep.3 = now;
        }
        if let Some(ranks) = self.ranks_at(request.arrived_at) {
            let figures = &mut ranks[request.rank.index()];
            if now <= request.deadline {
                figures.served += 1;
            } else {
                figures.late += 1;
            }
        }
    }

    pub(crate) fn refused(&mut self, request: &RequestState, now: Duration) {
        if let Some(ranks) = self.ranks_at(request.arrived_at) {
            let figures = &mut ranks[request.rank.index()];
            figures.refused += 1;
            figures.refused_late += u64::from(now > request.deadline);
        }
    }

    pub(crate) fn load_started(&mut self, now: Duration) {
        self.loads.push(now);
        if let Some(index) = self.plan.window_at(now) {
            self.windows[index].figures.loads += 1;
        }
    }

    /// Adds the time since the last call, in which the given numbers of requests ran and waited.
    pub(crate) fn occupied(&mut self, running: f64, waiting: f64, now: Duration) {
        let places = self.site.places();
        let from = std::mem::replace(&mut self.measured_to, now);
        for (window, span) in self.windows.iter_mut().zip(&self.plan.windows) {
            let overlap = now.min(span.to).saturating_sub(from.max(span.from));
            let seconds = overlap.as_secs_f64();
            window.filled += running * seconds;
            window.possible += (running + waiting).min(places) * seconds;
        }
    }

    pub(crate) const fn unfinished(&mut self, count: u64) {
        self.unfinished = count;
    }

    pub(crate) fn into_figures(self, policy: &str) -> RunFigures {
        let (site, most) = (
            self.site,
            most_in_span(&self.loads, Duration::from_secs(10)),
        );
        let windows = self
            .windows
            .into_iter()
            .map(|window| window.into_figures(site))
            .collect();
        let (asked, answered, start, end) = self.sweep;
        let is_complete = asked > 0 && asked == answered;
        RunFigures {
            policy: policy.to_owned(),
            windows,
            sweep_seconds: is_complete.then(|| end.saturating_sub(start).as_secs_f64()),
            most_loads_in_ten_seconds: most,
            unfinished: self.unfinished,
            served_slices: self.served_slices,
            stalled_slices: self.stalled_slices,
        }
    }

    fn ranks_at(&mut self, at: Duration) -> Option<&mut [RankFigures; 3]> {
        let index = self.plan.window_at(at)?;
        Some(&mut self.windows[index].figures.ranks)
    }
}

impl WindowRecord {
    fn into_figures(mut self, site: &SitePlan) -> WindowFigures {
        let seconds = self.figures.seconds;
        let token_rate = site.places() / site.token_time.as_secs_f64();
        for rank in RequestRank::ALL {
            let index = rank.index();
            let figures = &mut self.figures.ranks[index];
            let waits = &self.waits[index];
            figures.wait_p50_ms = to_ms(waits.value_at_quantile(0.5));
            figures.wait_p99_ms = to_ms(waits.value_at_quantile(0.99));
            let floor = site.pool.floors.get(&rank).copied().unwrap_or(0.0);
            let guaranteed = (floor * token_rate * seconds).min(self.asked_tokens[index]);
            figures.kept = ratio(figures.tokens, guaranteed);
        }
        let dispatched = to_f64(self.dispatched);
        self.figures.goodput = ratio(self.figures.goodput, token_rate * seconds);
        self.figures.loads_per_thousand = 1_000.0 * ratio(to_f64(self.figures.loads), dispatched);
        self.figures.occupancy = ratio(self.filled, self.possible);
        self.figures.utilisation = ratio(self.filled, site.places() * seconds);
        self.figures.stall_slices = self
            .stalls
            .iter()
            .map(|(all, stalled)| ratio(*stalled, *all))
            .collect();
        self.figures
    }
}

/// Covers waits from a microsecond to ten hours with three digits.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 36_000_000_000, 3).expect("constant histogram bounds are valid")
}

fn grow<T: Copy>(slices: &mut Vec<T>, index: usize, empty: T) {
    if slices.len() <= index {
        slices.resize(index + 1, empty);
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "run times are a few thousand seconds"
)]
fn slice_of(at: Duration, length: f64) -> usize {
    (at.as_secs_f64() / length) as usize
}

fn most_in_span(times: &[Duration], span: Duration) -> u64 {
    let mut first = 0;
    let mut most = 0;
    for (index, time) in times.iter().enumerate() {
        while time.saturating_sub(times[first]) >= span {
            first += 1;
        }
        most = most.max(index + 1 - first);
    }
    most as u64
}

fn to_ms(micros: u64) -> f64 {
    to_f64(micros) / 1_000.0
}

fn to_f64(count: u64) -> f64 {
    usize::try_from(count).map_or(f64::INFINITY, as_f64)
}

fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 0.0 }
}
