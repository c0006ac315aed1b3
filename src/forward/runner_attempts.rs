use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::{Response, StatusCode};
use tokio::time::{Instant, timeout};

use super::forward_run::{ChosenUpstream, ForwardRun, log_refusal};
use super::local_response::{LocalResponse, PART_REFUSAL, RETRY_AFTER_LOAD, unavailable};
use super::request_runner::lock;
use super::upstream_attempt::{AttemptHooks, AttemptPlan, send_attempt};
use super::{
    AttemptFailure, RelayBody, ReplyBody, RequestRunner, RouteKind, StreamHooks, UpstreamEntry,
    UpstreamResponse,
};
use crate::policy::{RetryBudget, may_take_place};
use crate::telemetry::{LogEvent, LogName, MetricName};

/// Pause before the next attempt after an upstream refused a request without running it, for
/// example because the adapter was not resident.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Fraction of the retry budget that the instances use. The rest is a margin for differences
/// between what the individual instances count.
const BUDGET_FRACTION: f64 = 0.6;

/// Number of retries that a process may send before it knows with how many others it shares the budget.
const UNLISTED_FILL: f64 = 1.0;

/// Time within which the response head of a retryable stream must arrive before another upstream is
/// tried.
const RETRYABLE_HEAD_TIMEOUT: Duration = Duration::from_millis(1200);

/// Maximum number of attempts for a request that upstreams refuse to run or that does not reach
/// them.
const MAX_NOT_RUN_ATTEMPTS: u32 = 4;

/// The attempts of a request, the retry budget, and the forwarding of responses.
impl RequestRunner {
    /// Counts and logs a response that this instance generates itself, and builds the response.
    pub(super) fn refuse(&self, run: &ForwardRun, response: LocalResponse) -> Response<ReplyBody> {
        self.metrics
            .add(MetricName::Refusals, &run.service.name, response.reason, 1);
        let is_part = response.reason == PART_REFUSAL;
        let refused = is_part
            .then(|| self.part_guard.refused_part(&run.prompt))
            .flatten();
        log_refusal(run, response, refused.map(|refused| refused.part))
    }

    pub(super) async fn attempt(
        &self,
        run: &mut ForwardRun,
        chosen: &ChosenUpstream,
        last_event: Option<String>,
    ) -> Result<UpstreamResponse, AttemptFailure> {
        run.attempts += 1;
        run.sent_at = Instant::now();
        let was_sent = run.was_sent.load(Ordering::Acquire);
        let can_repeat = run.route.kind == RouteKind::Stream
            && run.route.is_repeatable()
            && run.attempts < run.route.max_attempts;
        let is_repeat = run.tried.contains(&chosen.entry.id);
        run.tried.push(chosen.entry.id.clone());
        // Recorded before the request is sent, as this future may be dropped while it runs.
        let is_first_run = run.run_upstreams.begin(&chosen.entry);
        let version = run
            .parts
            .model
            .as_ref()
            .map_or(0, |model| self.expected_version(&chosen.entry.id, model));
        let plan = AttemptPlan {
            entry: Arc::clone(&chosen.entry),
            version,
            head_deadline: run.deadline,
            deadline: run.deadline,
            max_connections: self.connection_limit(run),
            is_repeat,
            last_event,
        };
        run.sent_option = self.stated_option(run, &chosen.entry);
        let mut outcome = self.send(run, &plan, can_repeat).await;
        if let Ok(response) = &mut outcome {
            let is_answer = response.status.is_success();
            let recorder = self.crash_recorder(run, &chosen.entry, is_answer);
            response.body.count_crashes(recorder);
        }
        if matches!(outcome, Err(AttemptFailure::Withheld)) {
            run.attempts -= 1;
            run.tried.pop();
        }
        if matches!(&outcome, Err(failure) if failure.is_not_run()) {
            run.was_sent.store(was_sent, Ordering::Release);
            if is_first_run {
                run.run_upstreams.withdraw(&chosen.entry);
            }
        }
        if matches!(outcome, Err(AttemptFailure::Unreachable(_))) {
            run.run_upstreams.record_unreachable(&chosen.entry);
        }
        outcome
    }

    /// Returns the number of connections that this instance may open to each upstream of the service.
    fn connection_limit(&self, run: &ForwardRun) -> usize {
        let instances = self.tracker.live_instance_count(self.clock.now());
        let limit = usize::try_from(run.service.max_connections).unwrap_or(usize::MAX);
        (limit / instances).max(4)
    }

    /// Returns the refusal of a request that was sent ahead of its turn while places are short. The end of
    /// its connection refuses the requests behind it as well.
    pub(super) fn place_refusal(
        &self,
        run: &ForwardRun,
        chosen: &ChosenUpstream,
    ) -> Option<LocalResponse> {
        let in_use = self.pool.in_use(&chosen.entry.id);
        let may_take = may_take_place(in_use, self.connection_limit(run), run.is_sent_ahead);
        (!may_take).then(|| unavailable("sent before an answer", RETRY_AFTER_LOAD).closing())
    }

    /// Sends an attempt and waits for the head of the response; `can_repeat` states that the request
    /// may be sent to another upstream instead if the head is late.
    async fn send(
        &self,
        run: &ForwardRun,
        plan: &AttemptPlan,
        can_repeat: bool,
    ) -> Result<UpstreamResponse, AttemptFailure> {
        let admit = || {
            let is_admitted = self.admit(run, &plan.entry);
            run.was_sent.fetch_or(is_admitted, Ordering::AcqRel);
            is_admitted
        };
        let hooks = AttemptHooks {
            admit: &admit,
            record_notice: &|notice| self.notices.record(&plan.entry, notice),
            record_load: &|load, runs| self.record_load(run, &plan.entry, &load, runs),
        };
        let (pool, tracker, names) = (&self.pool, &self.tracker, &self.names);
        let sending = send_attempt(pool, tracker, names, &run.parts, plan, &hooks);
        // Both apply before and after the head timeout below.
        let sending = self.watch_version(run, plan, sending);
        let sending = self.watch_parts(run, sending);
        if !can_repeat {
            return sending.await;
        }
        let mut sending = pin!(sending);
        match timeout(RETRYABLE_HEAD_TIMEOUT, &mut sending).await {
            Ok(outcome) => outcome,
            Err(_) if self.can_fail_over(run) => Err(AttemptFailure::TimedOut),
            // No other upstream can be tried, and a late response is better than none.
            Err(_) => sending.await,
        }
    }

    /// Returns whether a request that timed out may be tried at another upstream.
    fn can_fail_over(&self, run: &ForwardRun) -> bool {
        let now = self.clock.now();
        self.has_other_upstream(run)
            && self.budget(&run.service.name, |budget| budget.covers_retry(now))
    }

    pub(super) async fn record_failure(
        &self,
        run: &ForwardRun,
        chosen: &ChosenUpstream,
        failure: &AttemptFailure,
    ) {
        let now = self.clock.now();
        let upstream = &chosen.entry.id;
        match failure {
            AttemptFailure::NotSent(_)
            | AttemptFailure::Unreachable(_)
            | AttemptFailure::TimedOut => {
                self.health.record_unreachable(upstream, now);
            }
            AttemptFailure::NotRun(StatusCode::MISDIRECTED_REQUEST) => {
                if let Some(model) = &run.parts.model {
                    self.directory.record_absent(upstream, model);
                }
            }
            // The request was not sent, or the upstream has only queued it.
            AttemptFailure::Withheld | AttemptFailure::Outdated | AttemptFailure::Withdrawn => {}
            AttemptFailure::NotRun(_)
            | AttemptFailure::Unconfirmed(_)
            | AttemptFailure::Mismatch(_) => {
                self.health.record_failure(upstream, now);
            }
            AttemptFailure::Broken(_) => {
                self.health.record_unreachable(upstream, now);
                self.record_break(run, &chosen.entry).await;
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

    pub(super) fn may_retry(&self, run: &ForwardRun, failure: &AttemptFailure) -> bool {
        let may_repeat = failure.is_not_run() || run.route.is_repeatable();
        // Attempts that did not reach an upstream may exceed the route's maximum.
        let is_within = run.attempts < run.route.max_attempts
            || failure.is_not_sent() && run.attempts < MAX_NOT_RUN_ATTEMPTS;
        may_repeat
            && (is_within || failure.is_not_run() && run.attempts < MAX_NOT_RUN_ATTEMPTS)
            && Instant::now() < run.deadline
            && (failure.is_not_sent() || self.spend_retry(&run.service.name))
    }

    pub(super) fn has_other_upstream(&self, run: &ForwardRun) -> bool {
        let upstreams = self.fleet.upstreams();
        let untried = |entry: &&Arc<UpstreamEntry>| !run.tried.contains(&entry.id);
        !self.screen(run, &upstreams, untried).usable.is_empty()
    }

    pub(super) fn spend_retry(&self, service: &str) -> bool {
        let now = self.clock.now();
        self.budget(service, |budget| budget.try_spend(now))
    }

    pub(super) fn budget<T>(&self, service: &str, work: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let now = self.clock.now();
        // A process that has just started reads the list before it hears of its peers.
        let listed = (self.listed_instances)();
        let instances = self.tracker.live_instance_count(now).max(listed).max(4);
        let instances = u32::try_from(instances).unwrap_or(u32::MAX);
        let share = BUDGET_FRACTION * self.settings.retry_reserve / f64::from(instances);
        let fill_limit = if listed == 0 { UNLISTED_FILL } else { f64::MAX };
        let mut budgets = lock(&self.budgets);
        let budget = budgets.entry(service.to_owned()).or_insert_with(|| {
            let ratio = BUDGET_FRACTION * self.settings.retry_ratio;
            RetryBudget::new(ratio, share * 3.0, self.settings.retry_window / 2, now)
        });
        budget.set_share(share / 2.0, share * 3.0, fill_limit, now);
        work(budget)
    }

    /// Builds the response for the caller from an upstream's response.
    pub(super) fn reply(
        self: &Arc<Self>,
        run: ForwardRun,
        received: UpstreamResponse,
    ) -> Response<ReplyBody> {
        let (service, rank) = (&run.service.name, run.rank_tag());
        let latency = run.arrived.elapsed();
        self.metrics
            .record(MetricName::FirstToken, service, rank, latency);
        if !run.load_wait.is_zero() {
            self.metrics.add(MetricName::LoadStalls, service, rank, 1);
            self.metrics
                .record(MetricName::QueueWait, service, rank, run.load_wait);
        }
        if !run.hold_wait.is_zero() {
            self.metrics
                .record(MetricName::HoldTime, service, rank, run.hold_wait);
        }
        run.log_forwarded(received.status, received.body.upstream());
        if latency > run.route.target_latency {
            run.log_late(&received.body);
        }
        let is_stream = run.route.kind == RouteKind::Stream && received.is_event_stream;
        let headers = received.headers;
        let body = if is_stream {
            let record_end = Arc::clone(self).record_end_call(&run);
            let record_gap = Arc::clone(self).record_gap_call(&run);
            let resume = run
                .route
                .is_resumable
                .then(|| Arc::clone(self).resume_call(run));
            ReplyBody::Stream(Box::new(RelayBody::new(
                received.body,
                StreamHooks {
                    resume,
                    record_end,
                    record_gap,
                },
            )))
        } else {
            let mut body = received.body;
            body.end_proves_sound();
            ReplyBody::Plain(Box::new(body))
        };
        let mut response = Response::new(body);
        *response.status_mut() = received.status;
        *response.headers_mut() = headers;
        response
    }
}
