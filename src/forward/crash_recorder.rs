use std::sync::{Arc, Mutex};

use super::request_runner::lock;
use crate::id::UpstreamId;
use crate::policy::SuspectList;
use crate::telemetry::{LogEvent, LogName};
use crate::time::ClockSource;

/// Counts the crashes of upstreams that run a request.
#[derive(Debug, Clone)]
pub(super) struct CrashRecorder {
    pub(super) suspects: Arc<Mutex<SuspectList>>,
    pub(super) clock: ClockSource,
    /// Identifies the request and its repeats.
    pub(super) fingerprint: u64,
    pub(super) attempt: String,
}

impl CrashRecorder {
    /// Counts and logs a crash of an upstream that was running the request.
    pub(super) fn record_crash(&self, upstream: &UpstreamId) {
        let now = self.clock.now();
        let crashes = lock(&self.suspects).record_crash(self.fingerprint, now);
        LogEvent::new(LogName::CrashCounted)
            .with("attempt", &self.attempt)
            .with("upstream", upstream)
            .with("fingerprint", format!("{:016x}", self.fingerprint))
            .with_count("crashes", u64::from(crashes))
            .send();
    }
}
