use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout_at};

use super::forward_run::{ChosenUpstream, ForwardRun, RANK_VALUES};
use super::local_response::{LocalResponse, RETRY_AFTER_LOAD, RETRY_AFTER_START, unavailable};
use super::runner_attempts::RETRY_PAUSE;
use super::runner_notices::pause_refusal;
use super::{ModelRef, RequestRunner, UpstreamEntry};
use crate::error::ErrorKind;
use crate::id::UpstreamId;
use crate::member::rendezvous_score;
use crate::policy::{
    ChoiceDraws, ServiceRates, UpstreamOption, choose_upstream, corrected_requests, draw_upstream,
    extra_replicas, needs_even_replica, relieves_others, sample_upstream, unseen_requests,
};
use crate::residency::LoadPriority;

/// Minimum time that callers wait for the first event of a stream. They wait for two seconds, or
/// for four times the latency target if that is longer.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time reserved after an adapter load for the network and for processing the prompt.
const LOAD_MARGIN: Duration = Duration::from_millis(300);

/// Difference between load backlogs above which the second-ranked load target is preferred to the
/// first.
const BACKLOG_MARGIN: Duration = Duration::from_millis(200);

/// Pause before the engine of a held request is looked at again.
const HOLD_PAUSE: Duration = Duration::from_millis(15);

/// Time within which an additional replica of an adapter must be loaded; demand may have shifted
/// after that.
const REPLICA_LOAD_DEADLINE: Duration = Duration::from_millis(1200);

/// Minimum number of live instances for choosing among sampled upstreams instead of taking the best
/// prediction. With fewer instances, an instance's own requests, which it counts exactly, are a
/// large part of the load, and the best prediction gave better results with 6 and 9 instances.
pub(super) const SAMPLING_MIN_INSTANCES: usize = 16;

/// Number of load targets among which one with room is sought for a replica. A few suffice where
/// most have room, and an adapter stays in the host memory of few engines.
const REPLICA_TARGETS: usize = 4;

/// Time for which a stream occupies its slot, in milliseconds; its order of magnitude suffices to
/// estimate how many requests peers have sent since their reports.
const STREAM_OCCUPANCY_MS: f64 = 1000.0;

/// The choice of upstreams, and the adapter loads that it requires.
impl RequestRunner {
    /// Chooses an upstream and waits until the adapter is loaded there if it is not resident.
    pub(super) async fn place(
        &self,
        run: &mut ForwardRun,
    ) -> Result<ChosenUpstream, LocalResponse> {
        loop {
            if Instant::now() >= run.deadline {
                return Err(unavailable("no time is left", RETRY_AFTER_LOAD));
            }
            if let Some(refusal) = self
                .key_refusal(run)
                .or_else(|| self.crash_refusal(run))
                .or_else(|| self.shutdown_refusal(run))
            {
                return Err(refusal);
            }
            let chosen = self.choose(run)?;
            let Some(model) = run.parts.model.as_ref().filter(|_| !chosen.is_resident) else {
                if self.should_hold(run, &chosen) {
                    hold(run).await;
                    continue;
                }
                return Ok(chosen);
            };
            let first_event_timeout = FIRST_EVENT_TIMEOUT.max(run.route.target_latency * 4);
            let until = run.deadline.min(run.arrived + first_event_timeout);
            let left = until.saturating_duration_since(Instant::now());
            let load_limit = left.saturating_sub(LOAD_MARGIN);
            if load_limit.is_zero() {
                return Err(unavailable("the load would be late", RETRY_AFTER_LOAD));
            }
            let request = self.loads.request_load(
                &chosen.entry.id,
                model,
                self.fleet.min_version(model),
                LoadPriority {
                    value: run.value(),
                    late_after: run.time_to_target(),
                    expires_after: load_limit,
                },
            );
            let requested = Instant::now();
            let loaded = tokio::select! {
                loaded = timeout_at(until - LOAD_MARGIN / 2, request) => loaded,
                () = self.wait_for_cutoff(run) => continue,
                () = self.part_guard.wait_for_refusal(&run.prompt), if !run.is_trial => continue,
            };
            run.load_wait += requested.elapsed();
            match loaded {
                // During the load, the upstream may have started to drain, or a newer version may
                // have been announced; the upstream would refuse to run the request.
                Ok(Ok(version))
                    if version >= self.fleet.min_version(model)
                        && self.accepts_requests(&chosen.entry) =>
                {
                    let chosen = ChosenUpstream {
                        is_resident: true,
                        ..chosen
                    };
                    if !self.should_hold(run, &chosen) {
                        return Ok(chosen);
                    }
                    hold(run).await;
                }
                Ok(Ok(_)) => {}
                Ok(Err(error)) if error.kind() == ErrorKind::Overloaded => {
                    return Err(unavailable("the load would be late", RETRY_AFTER_LOAD));
                }
                Ok(Err(_)) => sleep(RETRY_PAUSE * 2).await,
                Err(_) => return Err(unavailable("the load was late", RETRY_AFTER_LOAD)),
            }
        }
    }

    /// Returns whether a request should wait because the streams of the chosen engine would become
    /// late, and can wait without becoming late itself.
    fn should_hold(&self, run: &ForwardRun, chosen: &ChosenUpstream) -> bool {
        let left = (run.route.target_latency / 2).saturating_sub(run.arrived.elapsed());
        let option = || self.option(run, &chosen.entry, Duration::ZERO, self.clock.now());
        run.parts.model.is_some() && !left.is_zero() && option().pauses_streams()
    }

    /// Returns whether an upstream is still listed at the same address and is not draining.
    pub(super) fn accepts_requests(&self, entry: &UpstreamEntry) -> bool {
        self.fleet
            .upstreams()
            .get(&entry.id)
            .is_some_and(|known| !known.is_draining && known.address == entry.address)
    }

    /// Chooses an upstream for a request.
    ///
    /// # Errors
    ///
    /// Returns the refusal of the request if no upstream may receive it.
    pub(super) fn choose(&self, run: &ForwardRun) -> Result<ChosenUpstream, LocalResponse> {
        let upstreams = self.fleet.upstreams();
        let screened = self.screen_allowed(run, &upstreams);
        if let Some(refusal) = pause_refusal(&screened) {
            return Err(refusal);
        }
        let may_repeat = !Self::may_use_further(run, &upstreams);
        self.choose_among(run, screened.usable, may_repeat)
            .ok_or_else(|| unavailable("no usable upstream", RETRY_AFTER_START))
    }

    /// Chooses among upstreams; `may_repeat` states that those which already had the request are taken
    /// like others.
    fn choose_among(
        &self,
        run: &ForwardRun,
        usable: Vec<&Arc<UpstreamEntry>>,
        may_repeat: bool,
    ) -> Option<ChosenUpstream> {
        let now = self.clock.now();
        let untried = |entry: &&&Arc<UpstreamEntry>| may_repeat || !run.tried.contains(&entry.id);
        let Some(model) = &run.parts.model else {
            let remaining: Vec<_> = usable.iter().filter(untried).copied().collect();
            let candidates = if remaining.is_empty() {
                usable
            } else {
                remaining
            };
            let entry = self.select_least_loaded(run, &candidates, &[], now)?;
            return Some(ChosenUpstream {
                entry,
                is_resident: true,
            });
        };
        let min_version = self.served_version(model, &usable);
        let is_resident = |entry: &&&Arc<UpstreamEntry>| {
            self.directory
                .resident_version(&entry.id, model, min_version)
                .is_some()
        };
        let residents: Vec<_> = usable
            .iter()
            .filter(is_resident)
            .filter(untried)
            .copied()
            .collect();
        let targets = self.load_targets(&usable, model, &residents, now);
        if let Some(entry) = self.select_least_loaded(run, &residents, &[], now) {
            if !may_repeat {
                self.add_replicas(run, model, &residents, &targets, now);
            }
            return Some(ChosenUpstream {
                entry,
                is_resident: true,
            });
        }
        let mut remaining = targets
            .iter()
            .filter(|entry| !run.tried.contains(&entry.id));
        let first = remaining.next().or(targets.first())?;
        // Loading an adapter at the same upstream each time keeps it in the engine's host memory,
        // so the second target is used only if the load queue of the first is much longer.
        let is_better = |second: &&&Arc<UpstreamEntry>| {
            let backlog = |entry: &UpstreamEntry| self.directory.backlog(&entry.id);
            backlog(first) > backlog(second) + BACKLOG_MARGIN
                || self.has_more_room(run, second, first, now)
        };
        let entry = remaining.next().filter(is_better).unwrap_or(first);
        Some(ChosenUpstream {
            entry: Arc::clone(entry),
            is_resident: false,
        })
    }

    /// Returns the lowest version of a model on which a request may run: the announced one, or for a
    /// base model that no upstream holds in this version, the newest one that is held.
    fn served_version(&self, model: &ModelRef, usable: &[&Arc<UpstreamEntry>]) -> u64 {
        let announced = self.fleet.min_version(model);
        if announced == 0 || model.has_adapter() {
            return announced;
        }
        let held = usable
            .iter()
            .filter_map(|entry| self.directory.resident_version(&entry.id, model, 0));
        held.max().map_or(announced, |newest| newest.min(announced))
    }

    /// Returns the upstreams at which the adapter may be loaded, ordered by rendezvous hash.
    ///
    /// Upstreams with a live owner come first; within both groups, those without an outdated
    /// version of the adapter come first.
    pub(super) fn load_targets<'a>(
        &self,
        usable: &[&'a Arc<UpstreamEntry>],
        model: &ModelRef,
        residents: &[&Arc<UpstreamEntry>],
        now: Duration,
    ) -> Vec<&'a Arc<UpstreamEntry>> {
        let key = model.to_string();
        let min_version = self.fleet.min_version(model);
        let mut targets: Vec<_> = usable
            .iter()
            .copied()
            .filter(|entry| !residents.iter().any(|known| known.id == entry.id))
            .filter(|entry| self.directory.may_have_model(&entry.id, &model.model))
            .collect();
        targets.sort_by_cached_key(|entry| {
            let has_owner = self.directory.owner_of(&entry.id, now).is_some();
            // Replacing an adapter blocks an engine until its requests have completed, so a new
            // version is preferably loaded where no old one is resident.
            let is_outdated = self.directory.is_outdated(&entry.id, model, min_version);
            let score = rendezvous_score(&key, entry.id.as_str());
            std::cmp::Reverse((has_owner, !is_outdated, score))
        });
        targets
    }

    pub(super) fn select_least_loaded(
        &self,
        run: &ForwardRun,
        candidates: &[&Arc<UpstreamEntry>],
        load_times: &[Duration],
        now: Duration,
    ) -> Option<Arc<UpstreamEntry>> {
        let options: Vec<UpstreamOption> = candidates
            .iter()
            .enumerate()
            .map(|(index, entry)| {
                let load_time = load_times.get(index).copied().unwrap_or_default();
                self.option(run, entry, load_time, now)
            })
            .collect();
        self.record_spread(run, candidates, now);
        let states_load = options.iter().any(|option| option.unseen.is_some());
        let index = if states_load && options.len() > 1 {
            draw_upstream(&options, rand::random())
        } else if self.tracker.live_instance_count(now) < SAMPLING_MIN_INSTANCES {
            choose_upstream(&options, rand::random())
        } else {
            let draws = ChoiceDraws {
                first: rand::random(),
                second: rand::random(),
                tie: rand::random(),
            };
            sample_upstream(&options, draws)
        };
        index.map(|index| Arc::clone(candidates[index]))
    }

    pub(super) fn option(
        &self,
        run: &ForwardRun,
        entry: &UpstreamEntry,
        load_time: Duration,
        now: Duration,
    ) -> UpstreamOption {
        let load = self.tracker.total_load(&entry.id, now);
        let service = &run.service.name;
        let spreads_load = self.spreads_load(service, now);
        // Few instances know the engines' requests from their own counts, and those of plain services,
        // which take a fraction of the time of a report, only from statements.
        let is_plain = run.service.engine.is_none() && self.figures.states_load(service, now);
        let counts = (spreads_load || is_plain).then(|| self.known_requests(entry, now));
        let rates = if spreads_load {
            self.figures.rates(service, now)
        } else {
            ServiceRates::default()
        };
        let occupancy_ms = if run.service.engine.is_some() {
            STREAM_OCCUPANCY_MS
        } else {
            rates.call_ms
        };
        let pace = self.pace.estimate(&run.service.name, &entry.id, now);
        UpstreamOption {
            requests: counts.map_or(load.requests, |counts| {
                corrected_requests(&counts, entry.slots)
            }),
            slots: entry.slots,
            prompt_tokens: load.prompt_tokens,
            memory_tokens: load.memory_tokens,
            memory_limit: run
                .service
                .engine
                .as_ref()
                .map_or(0, |engine| engine.memory_tokens),
            failures: self.health.failures(&entry.id, now),
            slowdown: pace.slowdown,
            usual_gap_ms: pace.usual_gap_ms,
            request_tokens: run.parts.load.prompt_tokens,
            gap_target_ms: run.route.gap_target.as_secs_f64() * 1000.0,
            load_time,
            is_remote: entry.domain != self.settings.domain,
            rates,
            unseen: counts
                .filter(|_| spreads_load)
                .map(|counts| unseen_requests(&counts, occupancy_ms)),
        }
    }

    /// Requests additional replicas of an adapter if the upstreams that hold it are much busier
    /// than the next load targets.
    fn add_replicas(
        &self,
        run: &ForwardRun,
        model: &ModelRef,
        residents: &[&Arc<UpstreamEntry>],
        targets: &[&Arc<UpstreamEntry>],
        now: Duration,
    ) {
        let Some(next) = targets.first() else {
            return;
        };
        let option = |entry: &UpstreamEntry| self.option(run, entry, Duration::ZERO, now);
        let busy: Vec<UpstreamOption> = residents.iter().map(|entry| option(entry)).collect();
        let extra = extra_replicas(&busy, &option(next));
        for target in targets.iter().take(extra) {
            self.load_replica(&target.id, model);
        }
        // The mean takes a look at all upstreams, which is left out where it can't matter.
        let may_need = extra == 0 && needs_even_replica(&busy, 0.0);
        if !may_need || !self.spreads_load(&run.service.name, now) {
            return;
        }
        let mean_fill = self.mean_fill(run, residents, targets, now);
        if needs_even_replica(&busy, mean_fill) {
            // All instances look at the targets in the same order, so that they load the same one.
            let mut preferred = targets.iter().take(REPLICA_TARGETS);
            if let Some(target) = preferred.find(|entry| relieves_others(&option(entry), mean_fill))
            {
                self.load_replica(&target.id, model);
            }
        }
    }

    fn load_replica(&self, upstream: &UpstreamId, model: &ModelRef) {
        let (loads, upstream, model) = (self.loads.clone(), upstream.clone(), model.clone());
        let version = self.fleet.min_version(&model);
        tokio::spawn(async move {
            let priority = LoadPriority {
                value: RANK_VALUES[2],
                late_after: REPLICA_LOAD_DEADLINE,
                expires_after: REPLICA_LOAD_DEADLINE,
            };
            let loaded = loads.request_load(&upstream, &model, version, priority);
            if let Err(error) = loaded.await {
                log::debug!("failed to load a replica of {model} at {upstream}: {error}");
            }
        });
    }
}

async fn hold(run: &mut ForwardRun) {
    sleep(HOLD_PAUSE).await;
    run.hold_wait += HOLD_PAUSE;
}
