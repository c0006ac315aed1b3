use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::timeout;

use super::forward_run::ForwardRun;
use super::local_response::{CRASH_REFUSAL, LocalResponse, PART_REFUSAL, unavailable};
use super::{
    AttemptFailure, CrashRecorder, RequestRunner, RouteKind, UpstreamEntry, UpstreamResponse,
};

/// Time for which a suspect request waits until it is known whether its upstream has crashed. A crashed
/// one refuses the first connection.
const VERDICT_TIMEOUT: Duration = Duration::from_millis(250);

/// Requests that crash the upstreams which run them.
impl RequestRunner {
    /// Returns the refusal of a request that has crashed too many upstreams, or of which a part of the
    /// prompt has.
    pub(super) fn crash_refusal(&self, run: &ForwardRun) -> Option<LocalResponse> {
        if run.is_trial {
            return None;
        }
        let refused = self.part_guard.refused_part(&run.prompt)?;
        let reason = if refused.part == run.prompt.request() {
            CRASH_REFUSAL
        } else {
            PART_REFUSAL
        };
        Some(unavailable(reason, refused.retry_after))
    }

    /// Makes a refused request a trial if one is due.
    pub(super) fn begin_trial(&self, run: &mut ForwardRun) {
        run.is_trial = self.part_guard.begin_trial(&run.prompt);
    }

    /// Waits for the response of an attempt, and withdraws the attempt if a part of its prompt is refused
    /// before the response begins.
    ///
    /// Dropping `sending` closes the connection, upon which most upstreams drop a queued request. One
    /// which may run only once is not withdrawn: it would leave the caller with an unknown outcome.
    pub(super) async fn watch_parts(
        &self,
        run: &ForwardRun,
        sending: impl Future<Output = Result<UpstreamResponse, AttemptFailure>>,
    ) -> Result<UpstreamResponse, AttemptFailure> {
        if run.is_trial || run.route.kind == RouteKind::NonIdempotent {
            return sending.await;
        }
        let sending = pin!(sending);
        tokio::select! {
            biased;
            outcome = sending => outcome,
            () = self.part_guard.wait_for_refusal(&run.prompt) => Err(AttemptFailure::Withdrawn),
        }
    }

    /// Counts a crash if an upstream that has broken the connection of an attempt has crashed.
    ///
    /// Waits for that if the request is suspect already, so that it is not repeated after the crash at
    /// which it is refused.
    pub(super) async fn record_break(&self, run: &ForwardRun, entry: &Arc<UpstreamEntry>) {
        let request = run.prompt.request();
        let is_suspect =
            self.part_guard.crash_count(request) > 0 || self.detector.is_checking(request);
        let recorder = self.crash_recorder(run, entry, true);
        let counting = recorder.record_break(None, false);
        if is_suspect && timeout(VERDICT_TIMEOUT, counting).await.is_err() {
            log::debug!("{}: not known yet whether it has crashed", entry.id);
        }
    }

    /// Waits until it is known whether an upstream that has just broken off an answer to the request has
    /// crashed, if the request is refused in this case.
    pub(super) async fn await_verdict(&self, run: &ForwardRun) {
        let request = run.prompt.request();
        if self.detector.is_checking(request) && self.part_guard.is_nearly_refused(request) {
            let refusal = self.part_guard.wait_for_refusal(&run.prompt);
            // Without a refusal in time, the request is sent.
            let _refused = timeout(VERDICT_TIMEOUT, refusal).await;
        }
    }

    /// Returns the recorder of the crashes of a request; `is_answer` states that the response is an
    /// answer to its prompt.
    pub(super) fn crash_recorder(
        &self,
        run: &ForwardRun,
        entry: &Arc<UpstreamEntry>,
        is_answer: bool,
    ) -> CrashRecorder {
        CrashRecorder {
            part_guard: Arc::clone(&self.part_guard),
            detector: Arc::clone(&self.detector),
            entry: Arc::clone(entry),
            sent_at: run.sent_at,
            is_answer,
            clock: self.clock.clone(),
            prompt: Arc::clone(&run.prompt),
            attempt: run.parts.attempt.clone(),
        }
    }
}
