use std::collections::BTreeSet;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

use super::PromptParts;
use crate::id::UpstreamId;
use crate::policy::{PartChange, PartRefusal, PartSuspects, RefusedPart};
use crate::telemetry::{LogEvent, LogName, MetricName, MetricSink};
use crate::time::ClockSource;

/// The parts of prompts, and whole requests, that crash upstreams, shared by the requests of an instance
/// and the exchange with its peers.
#[derive(Debug)]
pub struct PartGuard {
    suspects: Mutex<PartSuspects>,
    clock: ClockSource,
    metrics: MetricSink,
    /// Number of refusals so far; waiting requests look at their parts again when it changes.
    refusals: watch::Sender<u64>,
}

/// Maximum number of suspect parts. A crash of an upstream adds a few dozen.
const MAX_SUSPECTS: usize = 1024;

/// Maximum number of parts of one prompt for which a crash is counted, so that a prompt of thousands
/// of parts does not displace all others.
const MAX_COUNTED_PARTS: usize = 64;

impl PartGuard {
    /// Creates a guard without suspects.
    #[must_use]
    pub fn new(clock: ClockSource, metrics: MetricSink) -> Self {
        Self {
            suspects: Mutex::new(PartSuspects::new(MAX_SUSPECTS)),
            clock,
            metrics,
            refusals: watch::channel(0).0,
        }
    }

    /// Counts a crash of an upstream at `broken_at` that had worked on an answer to a prompt for the time
    /// `running`.
    pub fn record_crash(
        &self,
        prompt: &PromptParts,
        upstream: &UpstreamId,
        running: Duration,
        broken_at: Duration,
    ) {
        let parts = prompt.keys();
        let counted = &parts[..parts.len().min(MAX_COUNTED_PARTS)];
        let upstream = xxh3_64(upstream.as_str().as_bytes());
        self.lock()
            .record_crash(counted, upstream, running, broken_at);
        self.evaluate();
    }

    /// Records that an answer on a prompt was sound at `sound_at`, which clears its parts.
    pub fn record_sound(&self, prompt: &PromptParts, sound_at: Duration) {
        if prompt.keys().is_empty() {
            return;
        }
        let cleared = self.lock().record_sound(prompt.keys(), sound_at);
        log_cleared(&cleared);
    }

    /// Returns whether the request or a part of its prompt has crashes since its last sound answer.
    #[must_use]
    pub fn has_suspect(&self, prompt: &PromptParts) -> bool {
        let now = self.clock.now();
        self.lock()
            .has_suspect(prompt.keys(), prompt.request(), now)
    }

    /// Counts a crash of an upstream at `broken_at`, while it ran a request.
    pub fn record_request_crash(&self, request: u64, upstream: &UpstreamId, broken_at: Duration) {
        let upstream = xxh3_64(upstream.as_str().as_bytes());
        self.lock()
            .record_request_crash(request, upstream, broken_at);
        self.evaluate();
    }

    /// Records that an answer to a request was whole at `sound_at`, which clears the request.
    pub fn record_request_sound(&self, request: u64, sound_at: Duration) {
        if self.lock().record_request_sound(request, sound_at) {
            log_cleared(&[request]);
        }
    }

    /// Returns the number of crashes that count for a part or a whole request.
    #[must_use]
    pub fn crash_count(&self, key: u64) -> u64 {
        to_count(self.lock().crash_count(key, self.clock.now()).0)
    }

    /// Returns whether one more crash refuses a request.
    #[must_use]
    pub fn is_nearly_refused(&self, request: u64) -> bool {
        self.lock().is_nearly_refused(request, self.clock.now())
    }

    /// Ends the refusal of a part, as an operator orders.
    pub fn clear(&self, part: u64) {
        if self.lock().clear(part, self.clock.now()) {
            log_cleared(&[part]);
        }
    }

    /// Refuses the parts whose crashes suffice.
    pub fn evaluate(&self) {
        let now = self.clock.now();
        let mut suspects = self.lock();
        let refused = suspects.evaluate(now);
        for part in &refused {
            let (crashes, upstreams) = suspects.crash_count(*part, now);
            LogEvent::new(LogName::PartRefused)
                .with("part", part_text(*part))
                .with("source", "crashes")
                .with_count("crashes", to_count(crashes))
                .with_count("upstreams", to_count(upstreams))
                .send();
        }
        drop(suspects);
        self.report_refusals(&refused);
    }

    /// Returns the refusal of a whole request or of the first refused part of its prompt, if there is
    /// one.
    #[must_use]
    pub fn refused_part(&self, prompt: &PromptParts) -> Option<RefusedPart> {
        let now = self.clock.now();
        let suspects = self.lock();
        let request = suspects.refused_part(&[prompt.request()], now);
        request.or_else(|| suspects.refused_part(prompt.keys(), now))
    }

    /// Returns whether a refused request may be sent as a trial, and records it if so. One that is
    /// refused both as a whole and for a part is not tried.
    pub fn begin_trial(&self, prompt: &PromptParts) -> bool {
        let now = self.clock.now();
        let mut suspects = self.lock();
        let request = suspects.refused_part(&[prompt.request()], now);
        let part = suspects.refused_part(prompt.keys(), now);
        let ((Some(refused), None) | (None, Some(refused))) = (request, part) else {
            return false;
        };
        let is_trial = suspects.begin_trial(refused.part, now);
        drop(suspects);
        if is_trial {
            LogEvent::new(LogName::PartTried)
                .with("part", part_text(refused.part))
                .send();
        }
        is_trial
    }

    /// Returns whether a part is refused.
    #[must_use]
    pub fn is_refused(&self, part: u64) -> bool {
        self.lock()
            .refused_part(&[part], self.clock.now())
            .is_some()
    }

    /// Returns the refused parts.
    #[must_use]
    pub fn refusals(&self) -> Vec<PartRefusal> {
        self.lock().refusals(self.clock.now())
    }

    /// Refuses a part that the store names, unless it has just been cleared here.
    pub fn adopt_refusal(&self, part: u64) {
        let is_new = self.lock().adopt_refusal(part, self.clock.now());
        if is_new {
            log_refused(part, "store");
            self.report_refusals(&[part]);
        }
    }

    /// Waits until the request or a part of its prompt is refused.
    pub async fn wait_for_refusal(&self, prompt: &PromptParts) {
        let mut refusals = self.refusals.subscribe();
        // The wait can't fail, because this guard owns the sender.
        let _refusals = refusals
            .wait_for(|_| self.refused_part(prompt).is_some())
            .await;
    }

    /// Sets the rank of this instance among those that take turns with trials, and their number.
    pub fn set_place(&self, rank: usize, count: usize) {
        let to_u32 = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        self.lock().set_place(to_u32(rank), to_u32(count));
    }

    /// Returns up to `limit` changes that a peer which knows those up to `known` lacks, with the number
    /// of the last one.
    #[must_use]
    pub fn changes_after(&self, known: u64, limit: usize) -> (Vec<PartChange>, u64) {
        self.lock().changes_after(known, limit, self.clock.now())
    }

    /// Merges what a peer has told.
    pub fn merge(&self, changes: &[PartChange]) {
        if changes.is_empty() {
            return;
        }
        let now = self.clock.now();
        let mut suspects = self.lock();
        let refused = |suspects: &PartSuspects| -> BTreeSet<u64> {
            let refusals = suspects.refusals(now);
            refusals.iter().map(|refusal| refusal.part).collect()
        };
        let before = refused(&suspects);
        let cleared = suspects.merge(changes, now);
        let after = refused(&suspects);
        drop(suspects);
        log_cleared(&cleared);
        let told: Vec<u64> = after.difference(&before).copied().collect();
        for part in &told {
            log_refused(*part, "peer");
        }
        self.report_refusals(&told);
        self.evaluate();
    }

    /// Removes what has expired.
    pub fn remove_expired(&self) {
        self.lock().remove_expired(self.clock.now());
    }

    fn report_refusals(&self, refused: &[u64]) {
        if refused.is_empty() {
            return;
        }
        let count = to_count(refused.len());
        self.metrics.add(MetricName::RefusedParts, "", "", count);
        self.refusals.send_modify(|refusals| *refusals += count);
    }

    fn lock(&self) -> MutexGuard<'_, PartSuspects> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the key of a part as logs and the store name it.
#[must_use]
pub fn part_text(part: u64) -> String {
    format!("{part:016x}")
}

fn log_refused(part: u64, source: &str) {
    LogEvent::new(LogName::PartRefused)
        .with("part", part_text(part))
        .with("source", source)
        .send();
}

fn log_cleared(cleared: &[u64]) {
    for part in cleared {
        LogEvent::new(LogName::PartCleared)
            .with("part", part_text(*part))
            .send();
    }
}

fn to_count(count: usize) -> u64 {
    u64::try_from(count).unwrap_or(u64::MAX)
}
