use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::forward_run::ForwardRun;
use super::local_response::{LocalResponse, unavailable};
use super::{RequestRunner, ScreenedUpstreams, UpstreamEntry};
use crate::id::UpstreamId;
use crate::policy::StandingVerdict;
use crate::time::TimerService;

/// Interval at which records of upstreams that have left are removed.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(10);

/// What upstreams state about the requests that they want.
impl RequestRunner {
    /// Returns the upstreams of the request's service that may receive it and for which `is_wanted`
    /// returns `true`.
    pub(super) fn screen<'a>(
        &self,
        run: &ForwardRun,
        upstreams: &'a BTreeMap<UpstreamId, Arc<UpstreamEntry>>,
        is_wanted: impl Fn(&&Arc<UpstreamEntry>) -> bool,
    ) -> ScreenedUpstreams<'a> {
        let listed: Vec<&Arc<UpstreamEntry>> = upstreams
            .values()
            .filter(|entry| entry.service == run.service.name && !entry.is_draining)
            .filter(is_wanted)
            .collect();
        let (arrived, now) = self.arrival_time(run);
        self.health
            .screen(&listed, arrived, self.settings.drain_limit, now)
    }

    /// Returns the upstreams that may receive the request. Once it may have run on as many as its route
    /// allows, these are the ones that may have run it.
    pub(super) fn screen_allowed<'a>(
        &self,
        run: &ForwardRun,
        upstreams: &'a BTreeMap<UpstreamId, Arc<UpstreamEntry>>,
    ) -> ScreenedUpstreams<'a> {
        if Self::may_use_further(run, upstreams) {
            return self.screen(run, upstreams, |_| true);
        }
        self.screen(run, upstreams, |entry| run.run_upstreams.includes(entry))
    }

    /// Returns whether a further upstream may be used besides those that may have run the request.
    ///
    /// Once one of these can't be reached, the others come first: a lost packet may have delayed the
    /// connection, so that a further upstream would exceed the route's limit.
    pub(super) fn may_use_further(
        run: &ForwardRun,
        upstreams: &BTreeMap<UpstreamId, Arc<UpstreamEntry>>,
    ) -> bool {
        let live = run.run_upstreams.live_count(upstreams);
        live == 0 || live < run.route.max_attempts && run.run_upstreams.unreachable_count() == 0
    }

    /// Returns whether an upstream may receive a request that is about to be sent. One that leaves may
    /// only receive it if no other upstream may.
    pub(super) fn admit(&self, run: &ForwardRun, entry: &UpstreamEntry) -> bool {
        let refusal = self
            .key_refusal(run)
            .or_else(|| self.crash_refusal(run))
            .or_else(|| self.shutdown_refusal(run));
        if refusal.is_some() {
            return false;
        }
        let now = self.clock.now();
        match self.health.begin_attempt(entry, now) {
            StandingVerdict::Open | StandingVerdict::Trial => true,
            StandingVerdict::Paused(_) => false,
            StandingVerdict::Leaving(_) => {
                let upstreams = self.fleet.upstreams();
                let screened = self.screen_allowed(run, &upstreams);
                let is_usable = screened.usable.iter().any(|usable| usable.id == entry.id);
                if is_usable {
                    self.health.begin_trial(&entry.id, now);
                }
                is_usable
            }
        }
    }

    /// Returns the refusal of a request whose service has no upstream that wants requests at present.
    pub(super) fn pause_refusal(&self, run: &ForwardRun) -> Option<LocalResponse> {
        let upstreams = self.fleet.upstreams();
        pause_refusal(&self.screen(run, &upstreams, |_| true))
    }

    /// Returns when the request arrived and the present time, both on the clock of this runner.
    fn arrival_time(&self, run: &ForwardRun) -> (Duration, Duration) {
        let now = self.clock.now();
        (now.saturating_sub(run.arrived.elapsed()), now)
    }

    /// Removes the records of upstreams that have left; never returns.
    pub async fn remove_departed(self: Arc<Self>, timers: TimerService) {
        let mut ticks = timers.subscribe(CLEANUP_INTERVAL);
        loop {
            ticks.next().await;
            let upstreams = self.fleet.upstreams();
            let is_listed = |upstream: &UpstreamId| upstreams.contains_key(upstream);
            self.notices.remove_departed(is_listed);
            self.directory.retain(is_listed);
        }
    }
}

/// Returns the refusal of a request if all upstreams that might receive it want no requests for a time.
pub(super) fn pause_refusal(screened: &ScreenedUpstreams<'_>) -> Option<LocalResponse> {
    let pause = screened
        .shortest_pause
        .filter(|_| screened.usable.is_empty())?;
    Some(unavailable(
        "every upstream wants no requests for a time",
        spread_return(pause, rand::random()),
    ))
}

/// Prolongs the time after which callers may return by up to a quarter, so that those that were
/// refused during a pause don't return in one moment. `draw` is a random number from 0 to 1.
fn spread_return(pause: Duration, draw: f64) -> Duration {
    pause + pause.mul_f64(draw / 4.0)
}
