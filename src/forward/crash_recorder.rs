use std::sync::{Arc, Mutex};

use super::request_runner::lock;
use crate::policy::SuspectList;
use crate::time::ClockSource;

/// Counts the crashes of upstreams that run a request.
#[derive(Debug, Clone)]
pub(super) struct CrashRecorder {
    pub(super) suspects: Arc<Mutex<SuspectList>>,
    pub(super) clock: ClockSource,
    /// Identifies the request and its repeats.
    pub(super) fingerprint: u64,
}

impl CrashRecorder {
    /// Counts a crash of an upstream that was running the request.
    pub(super) fn record_crash(&self) {
        let now = self.clock.now();
        lock(&self.suspects).record_crash(self.fingerprint, now);
    }
}
