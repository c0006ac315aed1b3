use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use super::forward_head::strip_hop_headers;
use super::forward_run::{
    ChosenUpstream, ForwardRun, effective_rank, find_route, log_early_refusal, stated_length,
};
use super::local_response::{
    LocalResponse, RETRY_AFTER_LOAD, RETRY_AFTER_SHUTDOWN, RETRY_AFTER_START, final_response,
    reject, unavailable,
};
use super::request_identity::fingerprint;
use super::runner_attempts::RETRY_PAUSE;
use super::upstream_attempt::{RequestParts, drain};
use super::{
    AttemptFailure, CallerBody, CrashDetector, FleetState, ForwardHead, ForwardRoute,
    ForwardSettings, HeaderNames, InFlightLoad, InFlightTracker, LoadFigures, NoticeRecorder,
    PartGuard, PromptParts, ReplyBody, RunUpstreams, ShutdownPlan, UpstreamHealth, UpstreamPace,
    UpstreamPool, UpstreamResponse,
};
use crate::allowance::AllowanceLedger;
use crate::policy::RetryBudget;
use crate::residency::{LoadClient, ResidencyDirectory};
use crate::telemetry::{MetricName, MetricSink};
use crate::time::ClockSource;
use crate::workspace::WorkspaceEntry;

/// Forwards requests to upstreams, including retries and the adapter loads that they need.
pub struct RequestRunner {
    /// The identity of this instance and its retry limits.
    pub settings: ForwardSettings,
    /// The names of the deployment's headers.
    pub names: HeaderNames,
    /// The clock for upstream health, the load of peers and retry budgets.
    pub clock: ClockSource,
    /// Routes, upstreams and adapter versions.
    pub fleet: Arc<FleetState>,
    /// Requests in flight at each upstream, of this instance and its peers.
    pub tracker: Arc<InFlightTracker>,
    /// What workspaces use of their allowances.
    pub allowances: Arc<AllowanceLedger>,
    /// Pooled connections to upstreams.
    pub pool: Arc<UpstreamPool>,
    /// Recent failures of upstreams.
    pub health: Arc<UpstreamHealth>,
    /// Records what upstreams state about the requests that they want.
    pub notices: NoticeRecorder,
    /// Recent pauses in the streams of upstreams.
    pub pace: UpstreamPace,
    /// What answers bring about the load and the speed of upstreams.
    pub figures: LoadFigures,
    /// Where adapters are resident.
    pub directory: Arc<ResidencyDirectory>,
    /// Requests adapter loads from the owners of upstreams.
    pub loads: LoadClient,
    /// Tells crashed upstreams from those that have lost an answer.
    pub detector: Arc<CrashDetector>,
    /// Parts of prompts, and whole requests, that crash upstreams.
    pub part_guard: Arc<PartGuard>,
    /// Receives counters and durations by service.
    pub metrics: MetricSink,
    /// Returns the number of instances that the platform lists; zero before the first list.
    pub listed_instances: Box<dyn Fn() -> usize + Send + Sync>,
    /// Retry budgets by service.
    pub budgets: Mutex<BTreeMap<String, RetryBudget>>,
    /// What may still be sent before this process exits, or `None` while it is not shutting down.
    pub shutdown: watch::Sender<Option<ShutdownPlan>>,
}

impl std::fmt::Debug for RequestRunner {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("RequestRunner")
            .field("settings", &self.settings)
            .finish_non_exhaustive()
    }
}

impl RequestRunner {
    /// Forwards one request and returns the response for the caller.
    pub async fn run(self: &Arc<Self>, request: Request<CallerBody>) -> Response<ReplyBody> {
        let attempt = request.headers().get(&self.names.attempt).cloned();
        let was_sent = Arc::new(AtomicBool::new(false));
        tokio::select! {
            biased;
            response = self.respond(request, &was_sent) => response,
            () = self.wait_for_exit() => {
                let response = if was_sent.load(Ordering::Acquire) {
                    reject(StatusCode::BAD_GATEWAY, "the process exits")
                } else {
                    unavailable("the process exits", RETRY_AFTER_SHUTDOWN)
                };
                self.metrics
                    .add(MetricName::Refusals, "", response.reason, 1);
                log_early_refusal(attempt.as_ref(), response)
            }
        }
    }

    /// Answers a request; `was_sent` is set while it may have run at an upstream.
    async fn respond(
        self: &Arc<Self>,
        request: Request<CallerBody>,
        was_sent: &Arc<AtomicBool>,
    ) -> Response<ReplyBody> {
        let arrived = Instant::now();
        let attempt = request.headers().get(&self.names.attempt).cloned();
        match self.prepare(request, arrived).await {
            Ok(mut run) => {
                run.was_sent = Arc::clone(was_sent);
                if let Some(grant) = &mut run.allowance {
                    grant.follow(was_sent);
                }
                self.forward(run).await
            }
            Err(response) => {
                self.metrics
                    .add(MetricName::Refusals, "", response.reason, 1);
                log_early_refusal(attempt.as_ref(), response)
            }
        }
    }

    async fn prepare(
        &self,
        request: Request<CallerBody>,
        arrived: Instant,
    ) -> Result<ForwardRun, LocalResponse> {
        let routes = self
            .fleet
            .routes()
            .filter(|_| self.fleet.is_complete())
            .ok_or_else(|| unavailable("no configuration or versions yet", RETRY_AFTER_START))?;
        let (mut head, body) = request.into_parts();
        let route = find_route(&routes, &head)?;
        let claim = self.claim_workspace(&routes, &route, &mut head.headers)?;
        let workspace = claim.as_ref().map(|claim| &*claim.workspace);
        let parsed = ForwardHead::from_headers(&head.headers, &self.names)
            .map_err(|_error| reject(StatusCode::BAD_REQUEST, "a header is malformed"))?;
        let allowed = parsed.deadline.unwrap_or(route.timeout).min(route.timeout);
        let deadline = arrived + allowed;
        if !self.can_finish_before_shutdown(&route, deadline, arrived) {
            return Err(unavailable("shutting down", RETRY_AFTER_SHUTDOWN));
        }
        let entry = claim.as_ref().map(|claim| &claim.workspace);
        let allowance = self.admit_allowance(entry, parsed.token_counts())?;
        let limit = routes.limits().body_bytes;
        let stated = stated_length(&head.headers);
        let is_sent_ahead = body.is_sent_ahead;
        let body = body.read(stated, limit, deadline).await?;
        let service = route
            .select_service(rand::random())
            .and_then(|name| routes.service(name))
            .cloned()
            .ok_or_else(|| unavailable("the route has no service", RETRY_AFTER_LOAD))?;
        let fingerprint = fingerprint(&head, &body, &self.names, workspace);
        let prompt = head.headers.get_all(&self.names.prompt_parts);
        let prompt = PromptParts::from_headers(&service.name, prompt).with_request(fingerprint);
        let parts = self.request_parts(head, body, &parsed, &route, workspace);
        Ok(ForwardRun {
            route,
            service,
            key: claim.as_ref().map(|claim| claim.key),
            workspace: claim.map(|claim| claim.workspace),
            allowance,
            parts,
            prompt: Arc::new(prompt),
            is_trial: false,
            is_sent_ahead,
            deadline,
            arrived,
            tried: Vec::new(),
            run_upstreams: RunUpstreams::new(),
            attempts: 0,
            sent_at: arrived,
            sent_option: None,
            load_wait: Duration::ZERO,
            hold_wait: Duration::ZERO,
            was_sent: Arc::default(),
            is_resuming: false,
        })
    }

    fn request_parts(
        &self,
        head: http::request::Parts,
        body: Bytes,
        parsed: &ForwardHead,
        route: &ForwardRoute,
        workspace: Option<&WorkspaceEntry>,
    ) -> RequestParts {
        let mut headers = head.headers;
        strip_hop_headers(&mut headers);
        headers.remove(http::header::EXPECT);
        for name in &self.names.reserved {
            headers.remove(name);
        }
        if parsed.model.is_some() {
            let rank = effective_rank(route, workspace).min(9);
            headers.insert(self.names.rank.clone(), u64::from(rank).into());
        }
        // Set last, because callers can name any header as a hop-by-hop header.
        if let Some(name) = workspace.and_then(|it| HeaderValue::from_str(&it.name).ok()) {
            headers.insert(self.names.workspace.clone(), name);
        }
        RequestParts {
            method: head.method,
            uri: head.uri,
            headers,
            body,
            attempt: parsed.attempt.clone(),
            model: parsed.model.clone(),
            load: InFlightLoad {
                requests: 1,
                prompt_tokens: parsed.prompt_tokens,
                memory_tokens: parsed.prompt_tokens.saturating_add(parsed.output_tokens),
            },
        }
    }

    async fn forward(self: &Arc<Self>, mut run: ForwardRun) -> Response<ReplyBody> {
        let now = self.clock.now();
        self.await_verdict(&run).await;
        self.begin_trial(&mut run);
        if let Some(refusal) = self.crash_refusal(&run) {
            return self.refuse(&run, refusal);
        }
        self.budget(&run.service.name, |budget| budget.earn(now));
        self.metrics
            .add(MetricName::Requests, &run.service.name, run.rank_tag(), 1);
        let mut may_have_run = false;
        loop {
            let chosen = match self.place(&mut run).await {
                Ok(chosen) => chosen,
                Err(response) => return self.refuse(&run, response.after_run(may_have_run)),
            };
            if !may_have_run && let Some(refusal) = self.place_refusal(&run, &chosen) {
                return self.refuse(&run, refusal);
            }
            let failure = match self.attempt(&mut run, &chosen, None).await {
                Ok(response) => {
                    let Some(accepted) = self.accept_response(&mut run, &chosen, response) else {
                        may_have_run = true;
                        continue;
                    };
                    return self.reply(run, accepted);
                }
                // Another upstream is chosen; the request was not sent, which costs no retry.
                Err(AttemptFailure::Withheld) => continue,
                Err(failure) => failure,
            };
            run.is_trial = false;
            self.record_failure(&run, &chosen, &failure).await;
            may_have_run |= !failure.is_not_run();
            // A retry that can't be sent would be charged to the retry budget.
            if let Some(refusal) = self.crash_refusal(&run) {
                return self.refuse(&run, refusal.after_run(may_have_run));
            }
            if !may_have_run && let Some(refusal) = self.pause_refusal(&run) {
                return self.refuse(&run, refusal);
            }
            if !self.may_retry(&run, &failure) {
                return self.refuse(&run, final_response(&failure, may_have_run));
            }
            if matches!(failure, AttemptFailure::NotRun(_)) {
                sleep(RETRY_PAUSE).await;
            }
        }
    }

    /// Returns the response if it should be forwarded, or `None` if a server error should be
    /// retried at another upstream.
    fn accept_response(
        &self,
        run: &mut ForwardRun,
        chosen: &ChosenUpstream,
        response: UpstreamResponse,
    ) -> Option<UpstreamResponse> {
        let now = self.clock.now();
        if response.is_load_ignored {
            let service = &run.service.name;
            self.metrics.add(MetricName::IgnoredLoads, service, "", 1);
        }
        if let Some(slowdown) = response.load.and_then(|load| load.slowdown) {
            self.pace.record_stated(&chosen.entry.id, slowdown, now);
        }
        self.learn_rates(run, &response, now);
        if !response.status.is_server_error() {
            self.notices.record_success(&chosen.entry);
            return Some(response);
        }
        self.health.record_failure(&chosen.entry.id, now);
        let may_retry = run.route.is_repeatable()
            && run.attempts < run.route.max_attempts
            && Instant::now() < run.deadline
            && self.crash_refusal(run).is_none()
            && self.has_other_upstream(run)
            && self.spend_retry(&run.service.name);
        if may_retry {
            drain(response.body);
            return None;
        }
        Some(response)
    }
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
