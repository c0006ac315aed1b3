use std::sync::Arc;

use http::StatusCode;
use tokio::time::Instant;

use super::forward_run::ForwardRun;
use super::stream_hooks::{RecordEnd, RecordGap, ResumeCall};
use super::upstream_attempt::drain;
use super::{AttemptFailure, ConnectionBody, RequestRunner, StreamEnd};
use crate::error::{Error, ErrorKind};
use crate::telemetry::{LogEvent, LogName, MetricName};

/// The ends, gaps and resumption of relayed streams.
impl RequestRunner {
    /// Returns a call that counts and logs how a stream ended.
    pub(super) fn record_end_call(self: Arc<Self>, run: &ForwardRun) -> RecordEnd {
        let service = Arc::clone(&run.service);
        let attempt = run.parts.attempt.clone();
        Box::new(move |end| {
            self.metrics
                .add(MetricName::StreamEnds, &service.name, end.as_str(), 1);
            if let Some(fault) = end.fault {
                log_truncated(&attempt, end, fault);
            }
        })
    }

    /// Returns a call that records the time between two events of a stream.
    pub(super) fn record_gap_call(self: Arc<Self>, run: &ForwardRun) -> RecordGap {
        let service = Arc::clone(&run.service);
        Box::new(move |upstream, gap| {
            let now = self.clock.now();
            self.pace.record_gap(&service.name, upstream, gap, now);
        })
    }

    pub(super) fn resume_call(self: Arc<Self>, run: ForwardRun) -> ResumeCall {
        let run = Arc::new(tokio::sync::Mutex::new(run));
        Box::new(move |last_event| {
            let (this, run) = (Arc::clone(&self), Arc::clone(&run));
            Box::pin(async move {
                let mut run = run.lock().await;
                this.resume(&mut run, last_event).await
            })
        })
    }

    /// Resumes a stream after its last delivered event: at another upstream, or at one that already ran
    /// it if the route allows no further one.
    pub(super) async fn resume(
        &self,
        run: &mut ForwardRun,
        last_event: Option<String>,
    ) -> Result<ConnectionBody, Error> {
        let fail = |detail: &str| Error::new(ErrorKind::Truncated, detail);
        if let Some(broken) = run.tried.last() {
            self.health.record_unreachable(broken, self.clock.now());
        }
        run.arrived = Instant::now();
        run.is_resuming = true;
        run.is_trial = false;
        let mut has_budget = false;
        // An attempt that finds a former upstream ended takes none from the others.
        while run
            .attempts
            .saturating_sub(run.run_upstreams.unreachable_count())
            <= run.route.max_attempts
        {
            if let Some(refusal) = self.crash_refusal(run) {
                return Err(fail(refusal.reason));
            }
            if !has_budget && !self.spend_retry(&run.service.name) {
                return Err(fail("the retry budget is spent"));
            }
            has_budget = false;
            let chosen = self
                .place(run)
                .await
                .map_err(|response| fail(response.reason))?;
            match self.attempt(run, &chosen, last_event.clone()).await {
                Ok(response) if response.status == StatusCode::OK && response.is_event_stream => {
                    LogEvent::new(LogName::RequestRetried)
                        .with("attempt", &run.parts.attempt)
                        .with("upstream", &chosen.entry.id)
                        .with("reason", "resumed")
                        .with("after_event", last_event.as_deref().unwrap_or("none"))
                        .send();
                    return Ok(response.body);
                }
                Ok(response) => drain(response.body),
                Err(AttemptFailure::Withheld) => {}
                Err(failure @ AttemptFailure::Unreachable(_)) => {
                    // Nothing was sent that counts against the retry budget.
                    has_budget = true;
                    self.record_failure(run, &chosen, &failure).await;
                }
                Err(failure) => self.record_failure(run, &chosen, &failure).await,
            }
        }
        Err(fail("no upstream went on with the stream"))
    }
}

/// Logs a stream that ended early.
fn log_truncated(attempt: &str, end: &StreamEnd<'_>, fault: &Error) {
    LogEvent::new(LogName::AnswerTruncated)
        .with("attempt", attempt)
        .with("upstream", end.upstream)
        .with("reason", end.as_str())
        .with("framing", end.framing.as_str())
        .with("after_event", end.last_event.unwrap_or("none"))
        .with_count("partial_bytes", end.partial_bytes as u64)
        .with("detail", fault)
        .send();
}
