use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::forward_run::millis;
use super::{CrashDetector, PartGuard, PromptParts, UpstreamEntry};
use crate::telemetry::{LogEvent, LogName};
use crate::time::ClockSource;

/// Counts the crashes of an upstream that runs a request.
#[derive(Debug, Clone)]
pub(super) struct CrashRecorder {
    pub(super) part_guard: Arc<PartGuard>,
    pub(super) detector: Arc<CrashDetector>,
    pub(super) entry: Arc<UpstreamEntry>,
    /// When the attempt began.
    pub(super) sent_at: Instant,
    /// Whether the response is an answer to the prompt, so that crashes count for its parts.
    pub(super) is_answer: bool,
    pub(super) clock: ClockSource,
    pub(super) prompt: Arc<PromptParts>,
    pub(super) attempt: String,
}

impl CrashRecorder {
    /// Records that the upstream has just broken off the answer; `running` is the time since it began,
    /// or `None` if it had not.
    ///
    /// Counts for the request if the upstream has crashed, and for the parts of its prompt, unless the
    /// answer was sound. An answer that had begun counts for the parts at once, and without a crash, too.
    /// The task ends when the crash is known.
    pub(super) fn record_break(&self, running: Option<Duration>, is_sound: bool) -> JoinHandle<()> {
        let broken_at = self.clock.now();
        let is_suspect = self.is_answer && !is_sound;
        let has_begun = running.is_some();
        // An upstream that ends before the answer has begun may have worked on it since the request was
        // sent.
        let worked = running.unwrap_or_else(|| self.sent_at.elapsed());
        if is_suspect && has_begun {
            self.count_parts(worked, broken_at);
        }
        let this = self.clone();
        tokio::spawn(async move {
            let request = this.prompt.request();
            let has_crashed = this.detector.has_crashed(&this.entry, request).await;
            if has_crashed {
                this.part_guard
                    .record_request_crash(request, &this.entry.id, broken_at);
                if is_suspect && !has_begun {
                    this.count_parts(worked, broken_at);
                }
            }
            this.log_break(has_crashed || is_suspect && has_begun, running);
        })
    }

    fn count_parts(&self, worked: Duration, broken_at: Duration) {
        let upstream = &self.entry.id;
        self.part_guard
            .record_crash(&self.prompt, upstream, worked, broken_at);
    }

    fn log_break(&self, is_counted: bool, running: Option<Duration>) {
        let name = if is_counted {
            LogName::CrashCounted
        } else {
            LogName::AnswerLost
        };
        let request = self.prompt.request();
        let crashes = self.part_guard.crash_count(request);
        let mut event = LogEvent::new(name)
            .with("attempt", &self.attempt)
            .with("upstream", &self.entry.id)
            .with("fingerprint", format!("{request:016x}"))
            .with("prompt", self.prompt.text())
            .with("parts", self.prompt.keys_text())
            .with_count("crashes", crashes);
        if let Some(running) = running {
            event = event.with_count("running_ms", millis(running));
        }
        event.send();
    }

    /// Records that the answer is sound, which clears the parts of the prompt.
    pub(super) fn clear_parts(&self) {
        if self.is_answer {
            self.part_guard.record_sound(&self.prompt, self.clock.now());
        }
    }

    /// Records that the answer is whole, so that its upstream has survived the request.
    pub(super) fn clear_request(&self) {
        let now = self.clock.now();
        self.part_guard
            .record_request_sound(self.prompt.request(), now);
    }

    /// Records that the answer has ended with its connection. An upstream that crashes ends it likewise,
    /// so that the answer is sound only if the upstream still takes connections.
    ///
    /// Connects to the upstream only if the answer would clear anything.
    pub(super) fn record_closed_end(&self) {
        if !self.part_guard.has_suspect(&self.prompt) {
            return;
        }
        let ended_at = self.clock.now();
        let this = self.clone();
        tokio::spawn(async move {
            if this.detector.takes_connections(&this.entry).await {
                if this.is_answer {
                    this.part_guard.record_sound(&this.prompt, ended_at);
                }
                let request = this.prompt.request();
                this.part_guard.record_request_sound(request, ended_at);
            }
        });
    }
}
