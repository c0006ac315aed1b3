use std::sync::Arc;
use std::time::Duration;

use super::forward_run::{ForwardRun, millis};
use super::runner_placement::SAMPLING_MIN_INSTANCES;
use super::{RequestRunner, StatedLoad, UpstreamEntry, UpstreamResponse};
use crate::policy::{KnownRequests, RateSample, UpstreamOption, corrected_requests};
use crate::telemetry::{LogEvent, LogName, MetricName};

/// Time for which a request counts at a peer, and at an instance that aggregates its load, before it
/// is reported: half of the interval of such reports at each.
const REPORT_DELAY: Duration = Duration::from_millis(125);

/// Difference of predicted times, in milliseconds, above which an adapter is loaded at the second of
/// its targets: a load from the store takes about as much longer than one from host memory.
const LOAD_MOVE_MS: f64 = 200.0;

/// The figures on the load of upstreams, each with its age.
impl RequestRunner {
    /// Records the load that an upstream states in an answer; `runs` states that the request is
    /// included in it.
    pub(super) fn record_load(
        &self,
        run: &ForwardRun,
        entry: &UpstreamEntry,
        load: &StatedLoad,
        runs: bool,
    ) {
        let in_flight = self.tracker.own_load(&entry.id).requests;
        let own = in_flight.saturating_sub(u32::from(!runs));
        let (service, now) = (&run.service.name, self.clock.now());
        self.figures
            .record_stated(service, &entry.id, load, own, now);
    }

    /// Returns whether the requests for a service are spread by the room at its upstreams: they state
    /// their load, and so many instances choose that each sees only a small part of it.
    pub(super) fn spreads_load(&self, service: &str, now: Duration) -> bool {
        self.tracker.live_instance_count(now) >= SAMPLING_MIN_INSTANCES
            && self.figures.states_load(service, now)
    }

    /// Returns the load of an upstream that states its load.
    pub(super) fn stated_option(
        &self,
        run: &ForwardRun,
        entry: &UpstreamEntry,
    ) -> Option<UpstreamOption> {
        let now = self.clock.now();
        self.figures
            .states_load(&run.service.name, now)
            .then(|| self.option(run, entry, Duration::ZERO, now))
    }

    /// Learns the rates of a service from the time until a successful answer began.
    pub(super) fn learn_rates(&self, run: &ForwardRun, response: &UpstreamResponse, now: Duration) {
        let Some(option) = run.sent_option.filter(|_| response.status.is_success()) else {
            return;
        };
        let waited = run.sent_at.elapsed().saturating_sub(response.connect_time);
        let stated = response.load.and_then(|load| load.slowdown);
        let sample = RateSample {
            tokens: option.prompt_tokens.saturating_add(option.request_tokens),
            requests: option.requests,
            wait_ms: waited.as_secs_f64() * 1000.0,
            slowdown: stated.unwrap_or(1.0).max(1.0),
        };
        let is_engine = run.service.engine.is_some();
        self.figures
            .record_sample(&run.service.name, is_engine, &sample, now);
    }

    /// Returns what this instance knows of the requests at an upstream.
    pub(super) fn known_requests(&self, entry: &UpstreamEntry, now: Duration) -> KnownRequests {
        let (peers, received_age) = self.tracker.peer_requests(&entry.id, now);
        KnownRequests {
            own: self.tracker.own_load(&entry.id).requests,
            peers,
            peers_age: REPORT_DELAY + received_age,
            stated: self.figures.statement(&entry.id, now),
        }
    }

    /// Returns the mean fraction of occupied slots of the upstreams that may serve a request.
    pub(super) fn mean_fill(
        &self,
        run: &ForwardRun,
        residents: &[&Arc<UpstreamEntry>],
        targets: &[&Arc<UpstreamEntry>],
        now: Duration,
    ) -> f64 {
        let (mut fill, mut count) = (0.0, 0.0);
        for entry in residents.iter().chain(targets) {
            fill += self.option(run, entry, Duration::ZERO, now).fill();
            count += 1.0;
        }
        fill / f64::max(count, 1.0)
    }

    /// Returns whether an upstream that states its load has so much more room than another that an
    /// adapter which neither holds is loaded there.
    pub(super) fn has_more_room(
        &self,
        run: &ForwardRun,
        roomy: &UpstreamEntry,
        full: &UpstreamEntry,
        now: Duration,
    ) -> bool {
        if !self.spreads_load(&run.service.name, now) {
            return false;
        }
        let predicted =
            |entry: &UpstreamEntry| self.option(run, entry, Duration::ZERO, now).predicted_ms();
        predicted(full) > predicted(roomy) + LOAD_MOVE_MS
    }

    /// Records how old the figures on the candidates of a choice are, and at intervals how uneven the
    /// load of all upstreams of the service is.
    pub(super) fn record_spread(
        &self,
        run: &ForwardRun,
        candidates: &[&Arc<UpstreamEntry>],
        now: Duration,
    ) {
        let service = &run.service.name;
        if !self.spreads_load(service, now) {
            return;
        }
        let ages = candidates.iter().map(|entry| {
            let known = self.known_requests(entry, now);
            let stated_age = known.stated.map(|stated| stated.age);
            stated_age.map_or(known.peers_age, |age| age.min(known.peers_age))
        });
        let oldest = ages.max().unwrap_or_default();
        self.metrics
            .record(MetricName::FigureAge, service, "", oldest);
        if !self.figures.is_spread_due(service, now) {
            return;
        }
        let upstreams = self.fleet.upstreams();
        let listed = upstreams.values().filter(|entry| entry.service == *service);
        let requests: Vec<u32> = listed
            .map(|entry| corrected_requests(&self.known_requests(entry, now), entry.slots))
            .collect();
        let busiest = u64::from(requests.iter().copied().max().unwrap_or(0));
        let total: u64 = requests.iter().map(|count| u64::from(*count)).sum();
        let count = u64::try_from(requests.len()).unwrap_or(u64::MAX);
        if total == 0 {
            return;
        }
        let percent = busiest.saturating_mul(count).saturating_mul(100) / total;
        self.metrics
            .set(MetricName::UpstreamSpread, service, "", percent);
        LogEvent::new(LogName::LoadSpread)
            .with("pool", service)
            .with_count("upstreams", count)
            .with_count("requests", total)
            .with_count("busiest", busiest)
            .with_count("spread_percent", percent)
            .with_count("figure_age_ms", millis(oldest))
            .send();
    }
}
