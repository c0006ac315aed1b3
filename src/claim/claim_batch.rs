use std::collections::BTreeSet;
use std::sync::atomic::{AtomicU64, Ordering};

use super::ClaimDocument;
use super::claim_change::{ChangeKind, ChangeReply, ChangeTarget, ClaimChange};
use super::claim_context::ClaimContext;
use super::claim_counters::ClaimCounters;
use super::waiting_change::WaitingChange;
use crate::error::{Error, ErrorKind, Result, RunState};
use crate::id::AttemptId;
use crate::platform_client::{StoredObject, WriteOutcome};

/// Changes that are written together, with the progress of the write.
#[derive(Debug)]
pub(super) struct ClaimBatch<'a> {
    name: &'a str,
    context: &'a ClaimContext,
    /// The highest version of the object that this instance has seen.
    highest_version: &'a AtomicU64,
    changes: Vec<WaitingChange>,
    replies: Vec<Result<ChangeReply>>,
    withdrawn: BTreeSet<(u128, AttemptId)>,
    /// The current object, as returned with the conflict of the last write.
    conflicting: Option<StoredObject>,
    failures: u32,
    conflicts: u32,
}

impl<'a> ClaimBatch<'a> {
    pub(super) const fn new(
        name: &'a str,
        context: &'a ClaimContext,
        highest_version: &'a AtomicU64,
        changes: Vec<WaitingChange>,
        withdrawn: BTreeSet<(u128, AttemptId)>,
    ) -> Self {
        Self {
            name,
            context,
            highest_version,
            changes,
            replies: Vec::new(),
            withdrawn,
            conflicting: None,
            failures: 0,
            conflicts: 0,
        }
    }

    /// Reads the object, applies the changes and writes it back once.
    ///
    /// Returns true once the replies are final, and false if the caller must try again.
    ///
    /// # Errors
    ///
    /// Fails if the object cannot be decoded or the limit of failures or conflicts is reached; the
    /// changes must then be refused.
    pub(super) async fn attempt(&mut self) -> Result<bool> {
        let stored = match self.read_current().await {
            Ok(stored) => stored,
            Err(error) => return self.record_failure(&error),
        };
        let expected = stored.as_ref().map(|stored| stored.version);
        let previous_highest = self
            .highest_version
            .fetch_max(expected.unwrap_or(0), Ordering::Relaxed);
        if stored.is_none() && previous_highest > 0 {
            return self.record_failure(&self.missing_object());
        }
        let mut document = match &stored {
            Some(stored) => ClaimDocument::decode(&stored.value)?,
            None => ClaimDocument::default(),
        };
        // A write based on a stale read cannot succeed, but its conflict returns the current
        // object, which the replies must be based on.
        let is_stale = expected.unwrap_or(0) < previous_highest;
        if !self.apply(&mut document) && !is_stale {
            return Ok(true);
        }
        ClaimCounters::increment(&self.context.counters.writes);
        let outcome = self
            .context
            .storage
            .write(self.name, document.encode(), expected)
            .await;
        match outcome {
            Ok(WriteOutcome::Written(version)) => {
                self.highest_version.fetch_max(version, Ordering::Relaxed);
                Ok(true)
            }
            Ok(WriteOutcome::Conflict(conflicting)) => {
                self.conflicting = conflicting;
                self.record_conflict()
            }
            Err(error) => {
                // The write may have taken effect, and may still do so until the version changes.
                // The next try reads the object back and finds its own attempts, or writes again
                // with the same expected version, after which this write can no longer succeed.
                for (waiting, reply) in self.changes.iter_mut().zip(&self.replies) {
                    waiting.is_unconfirmed |= reply.as_ref().is_ok_and(ChangeReply::is_grant);
                }
                self.record_failure(&error)
            }
        }
    }

    /// Returns the current object, which the changes are applied to.
    ///
    /// After a conflict this is the object returned with the conflict. It is newer than the object
    /// that a lagging replica would return, which could cause conflicts repeatedly.
    async fn read_current(&mut self) -> Result<Option<StoredObject>> {
        if let Some(conflicting) = self.conflicting.take() {
            return Ok(Some(conflicting));
        }
        ClaimCounters::increment(&self.context.counters.reads);
        self.context.storage.read(self.name).await
    }

    /// Applies all changes and returns whether the document must be written.
    fn apply(&mut self, document: &mut ClaimDocument) -> bool {
        let config = &self.context.config;
        let now = self.context.hooks.now();
        document.drop_expired(now, config.retention);
        let mut target = ChangeTarget {
            free_bytes: config.object_limit.saturating_sub(document.reserved_size()),
            document,
            hooks: &self.context.hooks,
            now,
            retention: config.retention,
            is_changed: false,
        };
        for (digest, attempt) in &self.withdrawn {
            let change = ClaimChange {
                digest: *digest,
                attempt: *attempt,
                kind: ChangeKind::Abandon,
            };
            if let Err(error) = change.apply(&mut target, false) {
                log::error!("failed to mark the claim of a withdrawn attempt as not run: {error}");
            }
        }
        self.replies = self
            .changes
            .iter()
            .map(|waiting| waiting.change.apply(&mut target, waiting.is_unconfirmed))
            .collect();
        // Withdrawn attempts require a write even if nothing changed: it prevents an earlier write
        // that contains one of them from succeeding later.
        let is_changed = target.is_changed || !self.withdrawn.is_empty();
        document.drop_bodies_to_fit(config.object_limit);
        is_changed
    }

    fn record_failure(&mut self, error: &Error) -> Result<bool> {
        ClaimCounters::increment(&self.context.counters.failures);
        self.failures += 1;
        if self.failures < self.context.config.max_failures {
            return Ok(false);
        }
        Err(Error::new(
            ErrorKind::Platform,
            format!("{} could not be updated: {}", self.name, error.detail()),
        ))
    }

    fn record_conflict(&mut self) -> Result<bool> {
        ClaimCounters::increment(&self.context.counters.conflicts);
        self.conflicts += 1;
        if self.conflicts < self.context.config.max_conflicts {
            return Ok(false);
        }
        Err(Error::new(
            ErrorKind::Platform,
            format!(
                "{} was changed by others {} times",
                self.name, self.conflicts
            ),
        ))
    }

    fn missing_object(&self) -> Error {
        Error::new(
            ErrorKind::Platform,
            format!(
                "{} existed before and is missing; creating it anew would forget its claims",
                self.name
            ),
        )
    }

    /// Returns the withdrawn attempts that the batch marks as not run.
    pub(super) const fn withdrawn(&self) -> &BTreeSet<(u128, AttemptId)> {
        &self.withdrawn
    }

    /// Sets the replies of all changes to `error` and returns the attempts that must be withdrawn.
    pub(super) fn refuse(&mut self, error: &Error) -> Vec<(u128, AttemptId)> {
        let mut withdrawn = Vec::new();
        self.replies.clear();
        for waiting in &self.changes {
            let change = &waiting.change;
            let run_state = match change.kind {
                ChangeKind::Claim(_) | ChangeKind::Abandon => RunState::NotRun,
                ChangeKind::Finish(_) => RunState::Ran,
            };
            if waiting.is_unconfirmed || matches!(change.kind, ChangeKind::Abandon) {
                withdrawn.push((change.digest, change.attempt));
            }
            self.replies.push(Err(
                Error::new(error.kind(), error.detail()).with_run_state(run_state)
            ));
        }
        withdrawn
    }

    /// Sends the replies to the waiting callers and counts grants and refusals.
    pub(super) fn send_replies(self) {
        let counters = &self.context.counters;
        for (waiting, reply) in self.changes.into_iter().zip(self.replies) {
            let counter = match &reply {
                Ok(reply) if reply.is_grant() => Some(&counters.granted),
                Ok(_) => None,
                Err(_) => Some(&counters.refused),
            };
            if let Some(counter) = counter {
                counter.fetch_add(1, Ordering::Relaxed);
            }
            // A caller that no longer waits has withdrawn its claim when its guard was dropped.
            drop(waiting.reply.send(reply));
        }
    }
}
