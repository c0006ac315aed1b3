use std::pin::pin;
use std::time::Duration;

use tokio::time::{Instant, timeout};

use super::forward_run::{ForwardRun, millis};
use super::upstream_attempt::AttemptPlan;
use super::{AttemptFailure, ModelRef, RequestRunner, RouteKind, UpstreamResponse};
use crate::id::UpstreamId;
use crate::relay::ObjectKind;
use crate::telemetry::{LogEvent, LogName, MetricName};

/// Time for the withdrawal of a request to reach the upstream, and for an announcement to be passed
/// on after a lost watch call has been detected.
const WITHDRAWAL_MARGIN: Duration = Duration::from_secs(1);

/// The adapter versions that attempts expect, and their announcements during an attempt.
impl RequestRunner {
    /// Returns the version of an adapter that a request to an upstream has to expect, or zero for
    /// any version.
    ///
    /// If the resident version is newer than the announced one, its announcement is still on its
    /// way to this instance, and the upstream would refuse a request that expects the older one. A
    /// base model is served in the version that an upstream holds: engines may keep its weights when
    /// a new version is announced.
    pub(super) fn expected_version(&self, upstream: &UpstreamId, model: &ModelRef) -> u64 {
        let announced = self.fleet.min_version(model);
        if announced == 0 {
            return 0;
        }
        let resident = self.directory.resident_version(upstream, model, announced);
        if resident.is_none() && !model.has_adapter() {
            return 0;
        }
        resident.map_or(announced, |resident| resident.max(announced))
    }

    /// Waits for the response of an attempt, and withdraws the attempt if the adapter version that
    /// it states has been outdated for too long.
    ///
    /// An upstream may queue a request after it has checked the version, and sends the head of a
    /// stream when the request starts. Dropping `sending` closes the connection, upon which most
    /// upstreams drop a queued request. A plain response shows only the end of a request, so that one
    /// which may run only once is not withdrawn: it would leave the caller with an unknown outcome.
    pub(super) async fn watch_version(
        &self,
        run: &ForwardRun,
        plan: &AttemptPlan,
        sending: impl Future<Output = Result<UpstreamResponse, AttemptFailure>>,
    ) -> Result<UpstreamResponse, AttemptFailure> {
        let can_withdraw = run.route.kind != RouteKind::NonIdempotent;
        let model = run.parts.model.as_ref();
        let Some(model) = model.filter(|model| can_withdraw && model.has_adapter()) else {
            return sending.await;
        };
        let started = Instant::now();
        let mut sending = pin!(sending);
        tokio::select! {
            biased;
            outcome = &mut sending => return outcome,
            () = self.fleet.wait_for_newer_version(model, plan.version) => {}
        }
        let outdated_since = Instant::now();
        let Ok(outcome) = timeout(self.withdrawal_delay(), sending).await else {
            return Err(AttemptFailure::Outdated);
        };
        if let Ok(response) = &outcome {
            self.record_outdated(run, model, plan, response, started, outdated_since);
        }
        outcome
    }

    /// Returns how long a request may still start on a version that this instance knows to be
    /// outdated.
    ///
    /// If the response that brings an announcement is lost, it is missed only at the end of the watch
    /// call, so that this instance may learn of the announcement later by the duration of a call.
    fn withdrawal_delay(&self) -> Duration {
        let max_announcement_age = ObjectKind::Versions.watch_wait() + WITHDRAWAL_MARGIN;
        self.settings
            .version_limit
            .saturating_sub(max_announcement_age)
    }

    fn record_outdated(
        &self,
        run: &ForwardRun,
        model: &ModelRef,
        plan: &AttemptPlan,
        response: &UpstreamResponse,
        started: Instant,
        outdated_since: Instant,
    ) {
        let outdated_time = outdated_since.elapsed();
        self.metrics.record(
            MetricName::OutdatedStart,
            &run.service.name,
            run.rank_tag(),
            outdated_time,
        );
        LogEvent::new(LogName::RequestOutdated)
            .with("attempt", &run.parts.attempt)
            .with("upstream", &plan.entry.id)
            .with("model", model)
            .with_count("version", plan.version)
            .with_count("announced", self.fleet.min_version(model))
            .with_count("status", u64::from(response.status.as_u16()))
            .with_count("connect_ms", millis(response.connect_time))
            .with_count("head_ms", millis(started.elapsed()))
            .with_count("outdated_ms", millis(outdated_time))
            .send();
    }
}
