use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, HOST, HeaderMap, RETRY_AFTER};
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use tokio::time::{Instant, sleep, timeout_at};
use xxhash_rust::xxh3::Xxh3;

use super::forward_head::strip_hop_headers;
use super::upstream_attempt::{AttemptPlan, RequestParts, drain, send_attempt};
use super::{
    AttemptFailure, FleetState, ForwardHead, ForwardRoute, ForwardService, ForwardSettings,
    HeaderNames, LoadBoard, ModelRef, RelayBody, ReplyBody, RouteKind, RouteSet, UpstreamAnswer,
    UpstreamEntry, UpstreamHealth, UpstreamLoad, UpstreamPool,
};
use crate::error::{Error, ErrorKind};
use crate::id::UpstreamId;
use crate::member::rendezvous_score;
use crate::policy::{RetryBudget, SuspectList, SuspectVerdict, UpstreamOption, choose_upstream};
use crate::residency::{LoadClient, LoadWorth, ResidencyView};
use crate::telemetry::{LogEvent, LogName, MetricName, MetricSink};
use crate::time::ClockSource;

/// Carries requests through their attempts.
pub struct RequestRunner {
    /// The settings.
    pub settings: ForwardSettings,
    /// The names of headers.
    pub names: HeaderNames,
    /// The time.
    pub clock: ClockSource,
    /// Routes, upstreams and versions.
    pub fleet: Arc<FleetState>,
    /// Requests in flight.
    pub board: Arc<LoadBoard>,
    /// Connections to upstreams.
    pub pool: Arc<UpstreamPool>,
    /// Which upstreams fail.
    pub health: Arc<UpstreamHealth>,
    /// Where adapters are resident.
    pub view: Arc<ResidencyView>,
    /// Asks owners for adapters.
    pub loads: LoadClient,
    /// Requests that crashed upstreams.
    pub suspects: Arc<Mutex<SuspectList>>,
    /// Counts and durations by service.
    pub metrics: MetricSink,
    /// The retries allowed, by service.
    pub budgets: Mutex<BTreeMap<String, RetryBudget>>,
    /// The time at which this process ends; none while it does not shut down.
    pub ends_at: Mutex<Option<Instant>>,
}

impl std::fmt::Debug for RequestRunner {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("RequestRunner")
            .field("settings", &self.settings)
            .finish_non_exhaustive()
    }
}

/// One request on its way.
#[derive(Debug)]
struct ForwardRun {
    route: Arc<ForwardRoute>,
    service: Arc<ForwardService>,
    parts: RequestParts,
    fingerprint: u64,
    deadline: Instant,
    arrived: Instant,
    tried: Vec<UpstreamId>,
    attempts: u32,
    load_wait: Duration,
}

/// An upstream that was chosen, and whether its adapter is resident.
#[derive(Debug)]
struct ChosenUpstream {
    entry: Arc<UpstreamEntry>,
    is_resident: bool,
}

/// A request that this instance answers itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct OwnAnswer {
    status: StatusCode,
    reason: &'static str,
    retry_after: Option<Duration>,
}

/// Time that callers wait for the first event of a stream: two seconds, or four times the target.
const STREAM_PATIENCE: Duration = Duration::from_secs(2);

/// Time left for the way and the prompt after a load.
const LOAD_MARGIN: Duration = Duration::from_millis(300);

/// Difference in waiting loads for which the second home is preferred to the first.
const DETOUR: Duration = Duration::from_millis(200);

/// Pause before a request is tried again at an upstream that lacked the adapter.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Retry time for a request that found no room; loads of that length are done by then.
const RETRY_AFTER_LOAD: Duration = Duration::from_millis(900);

/// Retry time for a request that this instance can't place at all.
const RETRY_AFTER_START: Duration = Duration::from_millis(400);

/// Retry time for a request that another instance takes at once.
const RETRY_AFTER_SHUTDOWN: Duration = Duration::from_millis(50);

/// Time that nearly all streams take from the request to the last event.
const STREAM_TIME: Duration = Duration::from_secs(5);

/// Share of the retry budget that is used; the rest covers what instances count differently.
const BUDGET_SHARE: f64 = 0.6;

/// Predicted wait beyond that of the best other upstream from which one more is given the adapter.
const SPREAD_MS: f64 = 120.0;

/// Time for which such a load is of use; demand may have moved on after that.
const SPREAD_TIME: Duration = Duration::from_millis(1200);

/// Time until an answer's head must arrive from an upstream that may be silent, for requests that
/// may run again elsewhere.
const HEAD_PATIENCE: Duration = Duration::from_millis(1200);

/// Value of a request by rank, in thousandths; the most urgent first.
const RANK_VALUES: [u32; 3] = [2000, 1500, 600];

impl RequestRunner {
    /// Refuses requests from now on that would outlast the end of this process.
    pub fn end_at(&self, ends_at: Instant) {
        *lock(&self.ends_at) = Some(ends_at);
    }

    /// Answers one request.
    pub async fn run(self: &Arc<Self>, request: Request<Incoming>) -> Response<ReplyBody> {
        let arrived = Instant::now();
        match self.prepare(request, arrived).await {
            Ok(run) => self.forward(run).await,
            Err(answer) => to_response(answer),
        }
    }

    async fn prepare(
        &self,
        request: Request<Incoming>,
        arrived: Instant,
    ) -> Result<ForwardRun, OwnAnswer> {
        let routes = self
            .fleet
            .routes()
            .filter(|_| self.fleet.is_complete())
            .ok_or_else(|| unavailable("no configuration yet", RETRY_AFTER_START))?;
        let (head, body) = request.into_parts();
        let route = find_route(&routes, &head)?;
        let read = ForwardHead::from_headers(&head.headers, &self.names)
            .map_err(|_error| own(StatusCode::BAD_REQUEST, "a header is malformed"))?;
        if !self.outlives(&route, arrived) {
            return Err(unavailable("shutting down", RETRY_AFTER_SHUTDOWN));
        }
        let limit = routes.limits().body_bytes;
        if stated_length(&head.headers).is_some_and(|length| length > limit) {
            return Err(own(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long"));
        }
        let kept = read.deadline.unwrap_or(route.timeout).min(route.timeout);
        let deadline = arrived + kept;
        let body = match timeout_at(deadline, Limited::new(body, limit).collect()).await {
            Err(_) => return Err(own(StatusCode::REQUEST_TIMEOUT, "the body did not arrive")),
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
                return Err(own(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long"));
            }
            Ok(Err(_)) => return Err(own(StatusCode::BAD_REQUEST, "the body is malformed")),
        };
        let service = route
            .pick_service(rand::random())
            .and_then(|name| routes.service(name))
            .cloned()
            .ok_or_else(|| unavailable("the route has no service", RETRY_AFTER_LOAD))?;
        let fingerprint = fingerprint(&head, &body, &self.names);
        let parts = self.request_parts(head, body, &read, &route);
        Ok(ForwardRun {
            route,
            service,
            parts,
            fingerprint,
            deadline,
            arrived,
            tried: Vec::new(),
            attempts: 0,
            load_wait: Duration::ZERO,
        })
    }

    /// Returns whether this process lasts long enough for a request that arrives now.
    ///
    /// The balancer sends new callers for some seconds after a process has begun to shut down; a
    /// stream that is cut off at the end costs its caller more than a refusal at once.
    fn outlives(&self, route: &ForwardRoute, arrived: Instant) -> bool {
        let need = match route.kind {
            RouteKind::Stream => route.timeout.min(STREAM_TIME),
            RouteKind::Idempotent | RouteKind::NonIdempotent => route.timeout,
        };
        lock(&self.ends_at).is_none_or(|ends_at| arrived + need < ends_at)
    }

    fn request_parts(
        &self,
        head: http::request::Parts,
        body: Bytes,
        read: &ForwardHead,
        route: &ForwardRoute,
    ) -> RequestParts {
        let mut headers = head.headers;
        strip_hop_headers(&mut headers);
        headers.remove(http::header::EXPECT);
        for name in &self.names.reserved {
            headers.remove(name);
        }
        if read.model.is_some() {
            headers.insert(self.names.rank.clone(), u64::from(route.rank.min(9)).into());
        }
        RequestParts {
            method: head.method,
            uri: head.uri,
            headers,
            body,
            attempt: read.attempt.clone(),
            model: read.model.clone(),
            load: UpstreamLoad {
                requests: 1,
                prompt_tokens: read.prompt_tokens,
                memory_tokens: read.prompt_tokens.saturating_add(read.output_tokens),
            },
        }
    }

    async fn forward(self: &Arc<Self>, mut run: ForwardRun) -> Response<ReplyBody> {
        let now = self.clock.now();
        if lock(&self.suspects).judge(run.fingerprint, now) == SuspectVerdict::Refused {
            return self.refuse(
                &run,
                unavailable("crashed upstreams", Duration::from_secs(5)),
            );
        }
        self.budget(&run.service.name, |budget| budget.earn(now));
        self.metrics
            .add(MetricName::Requests, &run.service.name, run.rank_tag(), 1);
        let mut may_have_run = false;
        loop {
            let chosen = match self.place(&mut run).await {
                Ok(chosen) => chosen,
                Err(answer) if may_have_run => {
                    let failed = own(StatusCode::BAD_GATEWAY, answer.reason);
                    return self.refuse(&run, failed);
                }
                Err(answer) => return self.refuse(&run, answer),
            };
            let failure = match self.attempt(&mut run, &chosen, None).await {
                Ok(answer) => {
                    let Some(retried) = self.judge_answer(&mut run, &chosen, answer) else {
                        continue;
                    };
                    return self.reply(run, retried);
                }
                Err(failure) => failure,
            };
            self.note_failure(&run, &chosen, &failure);
            may_have_run |= !failure.is_not_run();
            if !self.may_retry(&run, &failure) {
                return self.refuse(&run, last_answer(&failure, may_have_run));
            }
            if matches!(failure, AttemptFailure::NotRun(_)) {
                sleep(RETRY_PAUSE).await;
            }
        }
    }

    /// Decides whether an upstream's answer is passed on; a failed one of a repeatable request may
    /// be tried again.
    fn judge_answer(
        &self,
        run: &mut ForwardRun,
        chosen: &ChosenUpstream,
        answer: UpstreamAnswer,
    ) -> Option<UpstreamAnswer> {
        let now = self.clock.now();
        if !answer.status.is_server_error() {
            self.health.succeed(&chosen.entry.id);
            return Some(answer);
        }
        self.health.fail(&chosen.entry.id, now);
        let may_retry = run.route.is_repeatable()
            && run.attempts < run.route.max_attempts
            && Instant::now() < run.deadline
            && self.has_other_upstream(run)
            && self.spend(&run.service.name);
        if may_retry {
            drain(answer.body);
            return None;
        }
        Some(answer)
    }

    /// Chooses an upstream and has the adapter loaded there if needed.
    async fn place(&self, run: &mut ForwardRun) -> Result<ChosenUpstream, OwnAnswer> {
        loop {
            if Instant::now() >= run.deadline {
                return Err(unavailable("no time is left", RETRY_AFTER_LOAD));
            }
            let Some(chosen) = self.choose(run) else {
                return Err(unavailable("no usable upstream", RETRY_AFTER_START));
            };
            let Some(model) = run.parts.model.as_ref().filter(|_| !chosen.is_resident) else {
                return Ok(chosen);
            };
            let patience = STREAM_PATIENCE.max(run.route.target_latency * 4);
            let until = run.deadline.min(run.arrived + patience);
            let left = until.saturating_duration_since(Instant::now());
            let useful = left.saturating_sub(LOAD_MARGIN);
            if useful.is_zero() {
                return Err(unavailable("the load would be late", RETRY_AFTER_LOAD));
            }
            let want = self.loads.want(
                &chosen.entry.id,
                model,
                self.fleet.min_version(model),
                LoadWorth {
                    value: run.value(),
                    on_time_for: run.on_time_left(),
                    useful_for: useful,
                },
            );
            let asked = Instant::now();
            let loaded = timeout_at(until - LOAD_MARGIN / 2, want).await;
            run.load_wait += asked.elapsed();
            match loaded {
                // The upstream may have begun to leave in the meantime.
                Ok(Ok(_)) if self.takes_requests(&chosen.entry) => return Ok(chosen),
                Ok(Ok(_)) => {}
                Ok(Err(error)) if error.kind() == ErrorKind::Overloaded => {
                    return Err(unavailable("the load would be late", RETRY_AFTER_LOAD));
                }
                Ok(Err(_)) => sleep(RETRY_PAUSE * 2).await,
                Err(_) => return Err(unavailable("the load was late", RETRY_AFTER_LOAD)),
            }
        }
    }

    /// Returns whether an upstream is still listed and not leaving.
    fn takes_requests(&self, entry: &UpstreamEntry) -> bool {
        self.fleet
            .upstreams()
            .get(&entry.id)
            .is_some_and(|known| !known.is_draining && known.address == entry.address)
    }

    fn choose(&self, run: &ForwardRun) -> Option<ChosenUpstream> {
        let now = self.clock.now();
        let upstreams = self.fleet.upstreams();
        let listed: Vec<&Arc<UpstreamEntry>> = upstreams
            .values()
            .filter(|entry| entry.service == run.service.name && !entry.is_draining)
            .collect();
        let is_usable = |entry: &&Arc<UpstreamEntry>| self.health.is_usable(&entry.id, now);
        let mut usable: Vec<_> = listed.iter().copied().filter(is_usable).collect();
        if usable.is_empty() {
            // Avoiding an upstream is a preference; one that fails is better than a refusal.
            usable = listed;
        }
        let untried = |entry: &&&Arc<UpstreamEntry>| !run.tried.contains(&entry.id);
        let Some(model) = &run.parts.model else {
            let fresh: Vec<_> = usable.iter().filter(untried).copied().collect();
            let candidates = if fresh.is_empty() { usable } else { fresh };
            let entry = self.pick(run, &candidates, &[], now)?;
            return Some(ChosenUpstream {
                entry,
                is_resident: true,
            });
        };
        let min_version = self.fleet.min_version(model);
        let is_resident = |entry: &&&Arc<UpstreamEntry>| {
            self.view
                .resident_version(&entry.id, model, min_version)
                .is_some()
        };
        let residents: Vec<_> = usable
            .iter()
            .filter(is_resident)
            .filter(untried)
            .copied()
            .collect();
        let homes = self.homes(&usable, model, &residents, now);
        if let Some(entry) = self.pick(run, &residents, &[], now) {
            self.spread(run, model, &entry, &homes, now);
            return Some(ChosenUpstream {
                entry,
                is_resident: true,
            });
        }
        let mut fresh = homes.iter().filter(|entry| !run.tried.contains(&entry.id));
        let first = fresh.next().or(homes.first())?;
        // A steady home keeps adapters in the engine's host memory; only a long queue is avoided.
        let entry = fresh
            .next()
            .filter(|second| self.view.backlog(&first.id) > self.view.backlog(&second.id) + DETOUR)
            .unwrap_or(first);
        Some(ChosenUpstream {
            entry: Arc::clone(entry),
            is_resident: false,
        })
    }

    /// Lists the upstreams where the adapter is loaded next, by rendezvous hash; those whose owner
    /// answers come first.
    fn homes<'a>(
        &self,
        usable: &[&'a Arc<UpstreamEntry>],
        model: &ModelRef,
        residents: &[&Arc<UpstreamEntry>],
        now: Duration,
    ) -> Vec<&'a Arc<UpstreamEntry>> {
        let key = model.to_string();
        let min_version = self.fleet.min_version(model);
        let mut homes: Vec<_> = usable
            .iter()
            .copied()
            .filter(|entry| !residents.iter().any(|known| known.id == entry.id))
            .filter(|entry| self.view.may_have_model(&entry.id, &model.model))
            .collect();
        homes.sort_by_cached_key(|entry| {
            let has_owner = self.view.owner_of(&entry.id, now).is_some();
            // Replacing an adapter blocks an engine until its requests have ended; the new version
            // is loaded where the old one is not.
            let is_outdated = self.view.is_outdated(&entry.id, model, min_version);
            let score = rendezvous_score(&key, entry.id.as_str());
            std::cmp::Reverse((has_owner, !is_outdated, score))
        });
        homes
    }

    fn pick(
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
        choose_upstream(&options, rand::random()).map(|index| Arc::clone(candidates[index]))
    }

    fn option(
        &self,
        run: &ForwardRun,
        entry: &UpstreamEntry,
        load_time: Duration,
        now: Duration,
    ) -> UpstreamOption {
        let load = self.board.total_load(&entry.id, now);
        UpstreamOption {
            requests: load.requests,
            slots: entry.slots,
            prompt_tokens: load.prompt_tokens,
            memory_tokens: load.memory_tokens,
            memory_limit: run
                .service
                .engine
                .as_ref()
                .map_or(0, |engine| engine.memory_tokens),
            failures: self.health.failures(&entry.id, now),
            load_time,
            is_remote: entry.domain != self.settings.domain,
        }
    }

    /// Asks for one more home of an adapter whose upstreams are much busier than the next home.
    fn spread(
        &self,
        run: &ForwardRun,
        model: &ModelRef,
        chosen: &UpstreamEntry,
        homes: &[&Arc<UpstreamEntry>],
        now: Duration,
    ) {
        let Some(next) = homes.first() else {
            return;
        };
        let ahead = self.option(run, chosen, Duration::ZERO, now).predicted_ms();
        let there = self.option(run, next, Duration::ZERO, now).predicted_ms();
        if ahead - there < SPREAD_MS {
            return;
        }
        let (loads, upstream, model) = (self.loads.clone(), next.id.clone(), model.clone());
        let version = self.fleet.min_version(&model);
        tokio::spawn(async move {
            let worth = LoadWorth {
                value: RANK_VALUES[2],
                on_time_for: SPREAD_TIME,
                useful_for: SPREAD_TIME,
            };
            let want = loads.want(&upstream, &model, version, worth);
            if let Err(error) = want.await {
                log::debug!("{model} was not spread to {upstream}: {error}");
            }
        });
    }

    /// Counts and logs why this instance answers a request itself, and builds the answer.
    fn refuse(&self, run: &ForwardRun, answer: OwnAnswer) -> Response<ReplyBody> {
        self.metrics
            .add(MetricName::Refusals, &run.service.name, answer.reason, 1);
        log_refusal(run, answer)
    }

    async fn attempt(
        &self,
        run: &mut ForwardRun,
        chosen: &ChosenUpstream,
        last_event: Option<String>,
    ) -> Result<UpstreamAnswer, AttemptFailure> {
        let now = Instant::now();
        let can_repeat = run.route.is_repeatable() && run.attempts + 1 < run.route.max_attempts;
        let head_until = if can_repeat && run.route.kind == RouteKind::Stream {
            run.deadline.min(now + HEAD_PATIENCE)
        } else {
            run.deadline
        };
        run.attempts += 1;
        run.tried.push(chosen.entry.id.clone());
        let version = run
            .parts
            .model
            .as_ref()
            .map_or(0, |model| self.fleet.min_version(model));
        let instances = self.board.live_instances(self.clock.now());
        let limit = usize::try_from(run.service.max_connections).unwrap_or(usize::MAX);
        let plan = AttemptPlan {
            entry: Arc::clone(&chosen.entry),
            version,
            head_until,
            deadline: run.deadline,
            max_connections: (limit / instances).max(4),
            last_event,
        };
        send_attempt(&self.pool, &self.board, &self.names, &run.parts, &plan).await
    }

    fn note_failure(&self, run: &ForwardRun, chosen: &ChosenUpstream, failure: &AttemptFailure) {
        let now = self.clock.now();
        let upstream = &chosen.entry.id;
        match failure {
            AttemptFailure::NotSent(_) | AttemptFailure::TimedOut => {
                self.health.lose(upstream, now);
            }
            AttemptFailure::NotRun(StatusCode::MISDIRECTED_REQUEST) => {
                if let Some(model) = &run.parts.model {
                    self.view.note_absent(upstream, model);
                }
            }
            AttemptFailure::NotRun(_) | AttemptFailure::Mismatch(_) => {
                self.health.fail(upstream, now);
            }
            AttemptFailure::Broken(_) => {
                self.health.lose(upstream, now);
                lock(&self.suspects).charge(run.fingerprint, now);
            }
        }
        let service = &run.service.name;
        self.metrics
            .add(MetricName::Retries, service, failure.as_str(), 1);
        LogEvent::new(LogName::RequestRetried)
            .with("attempt", &run.parts.attempt)
            .with("upstream", upstream)
            .with("reason", failure.as_str())
            .with("detail", format!("{failure:?}"))
            .with_count("attempts", u64::from(run.attempts))
            .send();
    }

    fn may_retry(&self, run: &ForwardRun, failure: &AttemptFailure) -> bool {
        let may_repeat = failure.is_not_run() || run.route.is_repeatable();
        // Upstreams that were not reached do not count against the attempts of the route.
        let is_within = run.attempts < run.route.max_attempts
            || matches!(failure, AttemptFailure::NotSent(_)) && run.attempts < MAX_UNSENT;
        may_repeat
            && (is_within || failure.is_not_run() && run.attempts < MAX_UNSENT)
            && Instant::now() < run.deadline
            && (matches!(failure, AttemptFailure::NotSent(_)) || self.spend(&run.service.name))
    }

    fn has_other_upstream(&self, run: &ForwardRun) -> bool {
        self.fleet.upstreams().values().any(|entry| {
            entry.service == run.service.name
                && !entry.is_draining
                && !run.tried.contains(&entry.id)
        })
    }

    fn spend(&self, service: &str) -> bool {
        let now = self.clock.now();
        self.budget(service, |budget| budget.try_spend(now))
    }

    fn budget<T>(&self, service: &str, work: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let now = self.clock.now();
        let mut budgets = lock(&self.budgets);
        let budget = budgets.entry(service.to_owned()).or_insert_with(|| {
            let instances = u32::try_from(self.board.live_instances(now)).unwrap_or(u32::MAX);
            let reserve = BUDGET_SHARE * self.settings.retry_reserve / f64::from(instances.max(4));
            let share = BUDGET_SHARE * self.settings.retry_ratio;
            let window = self.settings.retry_window;
            RetryBudget::new(share, reserve * 3.0, window / 2, now).with_reserve(reserve / 2.0)
        });
        work(budget)
    }

    /// Passes an upstream's answer on.
    fn reply(self: &Arc<Self>, run: ForwardRun, answer: UpstreamAnswer) -> Response<ReplyBody> {
        let (service, rank) = (&run.service.name, run.rank_tag());
        let taken = run.arrived.elapsed();
        self.metrics
            .record(MetricName::FirstToken, service, rank, taken);
        if !run.load_wait.is_zero() {
            self.metrics.add(MetricName::LoadStalls, service, rank, 1);
            self.metrics
                .record(MetricName::QueueWait, service, rank, run.load_wait);
        }
        if taken > run.route.target_latency {
            run.log_late(&answer.body);
        }
        let is_stream = run.route.kind == RouteKind::Stream && answer.status.is_success();
        let mut headers = answer.headers;
        headers.remove(&self.names.upstream_load);
        let body = if is_stream {
            let resume = run
                .route
                .is_resumable
                .then(|| Arc::clone(self).resume_call(run));
            ReplyBody::Stream(Box::new(RelayBody::new(answer.body, resume)))
        } else {
            ReplyBody::Plain(Box::new(answer.body))
        };
        let mut response = Response::new(body);
        *response.status_mut() = answer.status;
        *response.headers_mut() = headers;
        response
    }

    fn resume_call(self: Arc<Self>, run: ForwardRun) -> super::relay_body::ResumeCall {
        let run = Arc::new(tokio::sync::Mutex::new(run));
        Box::new(move |last_event| {
            let (this, run) = (Arc::clone(&self), Arc::clone(&run));
            Box::pin(async move {
                let mut run = run.lock().await;
                this.resume(&mut run, last_event).await
            })
        })
    }

    /// Opens the rest of a stream at another upstream.
    async fn resume(
        &self,
        run: &mut ForwardRun,
        last_event: Option<String>,
    ) -> Result<super::ConnectionBody, Error> {
        let fail = |detail: &str| Error::new(ErrorKind::Truncated, detail);
        if let Some(broken) = run.tried.last() {
            self.health.lose(broken, self.clock.now());
        }
        run.arrived = Instant::now();
        while run.attempts <= run.route.max_attempts {
            if !self.spend(&run.service.name) {
                return Err(fail("the retry budget is spent"));
            }
            let chosen = self
                .place(run)
                .await
                .map_err(|answer| fail(answer.reason))?;
            match self.attempt(run, &chosen, last_event.clone()).await {
                Ok(answer) if answer.status == StatusCode::OK => {
                    LogEvent::new(LogName::RequestRetried)
                        .with("attempt", &run.parts.attempt)
                        .with("upstream", &chosen.entry.id)
                        .with("reason", "resumed")
                        .with("after_event", last_event.as_deref().unwrap_or("none"))
                        .send();
                    return Ok(answer.body);
                }
                Ok(answer) => drain(answer.body),
                Err(failure) => self.note_failure(run, &chosen, &failure),
            }
        }
        Err(fail("no upstream went on with the stream"))
    }
}

/// Upstreams that may refuse a request or be out of reach before it is given up.
const MAX_UNSENT: u32 = 4;

impl ForwardRun {
    /// Logs where the time of an answer after the target went.
    fn log_late(&self, body: &super::ConnectionBody) {
        let model = self.parts.model.as_ref().map(ModelRef::to_string);
        LogEvent::new(LogName::RequestLate)
            .with("attempt", &self.parts.attempt)
            .with("route", &self.route.name)
            .with("model", model.unwrap_or_default())
            .with("upstream", body.upstream())
            .with_count("target_ms", millis(self.route.target_latency))
            .with_count("head_ms", millis(self.arrived.elapsed()))
            .with_count("load_wait_ms", millis(self.load_wait))
            .with_count("attempts", u64::from(self.attempts))
            .with_count("prompt_tokens", u64::from(self.parts.load.prompt_tokens))
            .send();
    }

    /// Returns the time left for a load if the answer is to be on time.
    fn on_time_left(&self) -> Duration {
        let prompt = Duration::from_millis(u64::from(self.parts.load.prompt_tokens) / 20);
        self.route
            .target_latency
            .saturating_sub(self.arrived.elapsed())
            .saturating_sub(prompt)
    }

    fn rank_tag(&self) -> &'static str {
        match self.route.rank {
            0 => "rank_0",
            1 => "rank_1",
            2 => "rank_2",
            _ => "rank_3_and_beyond",
        }
    }

    fn value(&self) -> u32 {
        let rank = usize::from(self.route.rank).min(RANK_VALUES.len() - 1);
        RANK_VALUES[rank]
    }
}

/// Logs why this instance answers a request itself, and builds the answer.
fn log_refusal(run: &ForwardRun, answer: OwnAnswer) -> Response<ReplyBody> {
    let name = if answer.status == StatusCode::SERVICE_UNAVAILABLE {
        LogName::RequestRefused
    } else {
        LogName::RequestFailed
    };
    let model = run.parts.model.as_ref().map(ModelRef::to_string);
    LogEvent::new(name)
        .with("attempt", &run.parts.attempt)
        .with("route", &run.route.name)
        .with("model", model.unwrap_or_default())
        .with("reason", answer.reason)
        .with_count("status", u64::from(answer.status.as_u16()))
        .with_count("attempts", u64::from(run.attempts))
        .with_count("held_ms", millis(run.arrived.elapsed()))
        .send();
    to_response(answer)
}

fn find_route(
    routes: &RouteSet,
    head: &http::request::Parts,
) -> Result<Arc<ForwardRoute>, OwnAnswer> {
    let host = head
        .headers
        .get(HOST)
        .and_then(|host| host.to_str().ok())
        .or_else(|| head.uri.authority().map(http::uri::Authority::as_str))
        .ok_or_else(|| own(StatusCode::BAD_REQUEST, "the request names no host"))?;
    routes
        .find(host, head.uri.path())
        .cloned()
        .ok_or_else(|| own(StatusCode::NOT_FOUND, "no route"))
}

fn stated_length(headers: &HeaderMap) -> Option<usize> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

fn fingerprint(head: &http::request::Parts, body: &Bytes, names: &HeaderNames) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(head.method.as_str().as_bytes());
    hasher.update(head.uri.path().as_bytes());
    if let Some(parts) = head.headers.get(&names.prompt_parts) {
        hasher.update(parts.as_bytes());
    }
    hasher.update(body);
    hasher.digest()
}

/// Returns the answer after the last attempt; "not run" only if no attempt may have run.
fn last_answer(failure: &AttemptFailure, may_have_run: bool) -> OwnAnswer {
    if !may_have_run {
        return unavailable("no upstream took the request", RETRY_AFTER_START);
    }
    match failure {
        AttemptFailure::TimedOut => own(StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
        _ => own(StatusCode::BAD_GATEWAY, "the upstream failed"),
    }
}

const fn own(status: StatusCode, reason: &'static str) -> OwnAnswer {
    OwnAnswer {
        status,
        reason,
        retry_after: None,
    }
}

const fn unavailable(reason: &'static str, retry_after: Duration) -> OwnAnswer {
    OwnAnswer {
        status: StatusCode::SERVICE_UNAVAILABLE,
        reason,
        retry_after: Some(retry_after),
    }
}

fn to_response(answer: OwnAnswer) -> Response<ReplyBody> {
    let text = Bytes::from_static(answer.reason.as_bytes());
    let mut response = Response::new(ReplyBody::Own(Full::new(text)));
    *response.status_mut() = answer.status;
    if let Some(pause) = answer.retry_after
        && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", pause.as_secs_f64()))
    {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
