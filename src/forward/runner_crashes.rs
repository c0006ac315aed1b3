use std::pin::pin;
use std::sync::Arc;

use super::forward_run::ForwardRun;
use super::local_response::{LocalResponse, PART_REFUSAL, RETRY_AFTER_CRASH, unavailable};
use super::request_runner::lock;
use super::{AttemptFailure, CrashRecorder, RequestRunner, RouteKind, UpstreamResponse};
use crate::policy::SuspectVerdict;

/// Requests that crash the upstreams which run them.
impl RequestRunner {
    /// Returns the refusal of a request that has crashed too many upstreams, or of which a part of the
    /// prompt has.
    pub(super) fn crash_refusal(&self, run: &ForwardRun) -> Option<LocalResponse> {
        let verdict = lock(&self.suspects).verdict(run.fingerprint, self.clock.now());
        if verdict == SuspectVerdict::Refused {
            return Some(unavailable("crashed upstreams", RETRY_AFTER_CRASH));
        }
        if run.is_trial {
            return None;
        }
        let refused = self.part_guard.refused_part(&run.prompt)?;
        Some(unavailable(PART_REFUSAL, refused.retry_after))
    }

    /// Makes a request with a refused part a trial if one is due.
    pub(super) fn begin_trial(&self, run: &mut ForwardRun) {
        let refused = self.part_guard.refused_part(&run.prompt);
        run.is_trial = refused.is_some_and(|refused| self.part_guard.begin_trial(refused.part));
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

    /// Returns the recorder of the crashes of a request; `is_answer` states that the response is an
    /// answer to its prompt.
    pub(super) fn crash_recorder(&self, run: &ForwardRun, is_answer: bool) -> CrashRecorder {
        CrashRecorder {
            suspects: Arc::clone(&self.suspects),
            part_guard: is_answer.then(|| Arc::clone(&self.part_guard)),
            clock: self.clock.clone(),
            fingerprint: run.fingerprint,
            prompt: Arc::clone(&run.prompt),
            attempt: run.parts.attempt.clone(),
        }
    }
}
