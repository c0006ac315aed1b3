use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::forward_run::millis;
use super::request_runner::lock;
use super::{PartGuard, PromptParts};
use crate::id::UpstreamId;
use crate::policy::SuspectList;
use crate::telemetry::{LogEvent, LogName};
use crate::time::ClockSource;

/// Counts the crashes of upstreams that run a request.
#[derive(Debug, Clone)]
pub(super) struct CrashRecorder {
    pub(super) suspects: Arc<Mutex<SuspectList>>,
    /// Counts crashes for the parts of the prompt; `None` if the response is no answer to it.
    pub(super) part_guard: Option<Arc<PartGuard>>,
    pub(super) clock: ClockSource,
    /// Identifies the request and its repeats.
    pub(super) fingerprint: u64,
    pub(super) prompt: Arc<PromptParts>,
    pub(super) attempt: String,
}

impl CrashRecorder {
    /// Counts and logs a crash of an upstream that was running the request; `running` is the time since
    /// its response began, or `None` if it had not.
    pub(super) fn record_crash(&self, upstream: &UpstreamId, running: Option<Duration>) {
        let now = self.clock.now();
        let crashes = lock(&self.suspects).record_crash(self.fingerprint, now);
        let mut event = LogEvent::new(LogName::CrashCounted)
            .with("attempt", &self.attempt)
            .with("upstream", upstream)
            .with("fingerprint", format!("{:016x}", self.fingerprint))
            .with("prompt", self.prompt.text())
            .with("parts", self.prompt.keys_text())
            .with_count("crashes", u64::from(crashes));
        if let Some(running) = running {
            event = event.with_count("running_ms", millis(running));
        }
        event.send();
    }

    /// Counts a crash for the parts of the prompt, as the answer had begun and was not sound yet.
    pub(super) fn suspect_parts(&self, upstream: &UpstreamId, running: Duration) {
        if let Some(guard) = &self.part_guard {
            guard.record_crash(&self.prompt, upstream, running);
        }
    }

    /// Records that the answer is sound, which clears the parts of the prompt.
    pub(super) fn clear_parts(&self) {
        if let Some(guard) = &self.part_guard {
            guard.record_sound(&self.prompt);
        }
    }
}
