use std::sync::Arc;

use super::forward_run::ForwardRun;
use super::local_response::{LocalResponse, RETRY_AFTER_CRASH, unavailable};
use super::request_runner::lock;
use super::{CrashRecorder, RequestRunner};
use crate::policy::SuspectVerdict;

/// Requests that crash the upstreams which run them.
impl RequestRunner {
    /// Returns the refusal of a request that has crashed too many upstreams.
    pub(super) fn crash_refusal(&self, run: &ForwardRun) -> Option<LocalResponse> {
        let verdict = lock(&self.suspects).verdict(run.fingerprint, self.clock.now());
        (verdict == SuspectVerdict::Refused)
            .then(|| unavailable("crashed upstreams", RETRY_AFTER_CRASH))
    }

    /// Returns the recorder of the crashes of a request.
    pub(super) fn crash_recorder(&self, run: &ForwardRun) -> CrashRecorder {
        CrashRecorder {
            suspects: Arc::clone(&self.suspects),
            clock: self.clock.clone(),
            fingerprint: run.fingerprint,
            prompt: Arc::clone(&run.prompt),
            attempt: run.parts.attempt.clone(),
        }
    }
}
