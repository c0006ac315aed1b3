use std::time::Duration;

use super::{ClaimDocument, ClaimHooks, ClaimOutcome, ClaimRecord, ClaimState, StoredAnswer};
use crate::error::{Error, ErrorKind, Result, RunState};
use crate::id::{AttemptId, InstanceId};

/// A change to be applied to the claims of a shard.
#[derive(Debug, Clone)]
pub(super) struct ClaimChange {
    pub(super) digest: u128,
    pub(super) attempt: AttemptId,
    pub(super) kind: ChangeKind,
}

/// The operation of a change.
#[derive(Debug, Clone)]
pub(super) enum ChangeKind {
    /// Claims the key.
    Claim(Box<NewClaim>),
    /// Marks the claim as finished and records the answer.
    Finish(StoredAnswer),
    /// Marks the claim as not run.
    Abandon,
}

/// The content of a new claim, apart from its key and attempt.
#[derive(Debug, Clone)]
pub(super) struct NewClaim {
    pub(super) body_digest: u64,
    pub(super) instance: InstanceId,
    pub(super) incarnation: u64,
    pub(super) time_left: Duration,
}

/// The result of a change.
#[derive(Debug, Clone)]
pub(super) enum ChangeReply {
    /// The outcome of a claim.
    Claim(ClaimOutcome),
    /// A finish or an abandon succeeded; an abandon without a claim changes nothing.
    Recorded,
}

/// The document that changes are applied to, with the time and limits that they depend on.
#[derive(Debug)]
pub(super) struct ChangeTarget<'a> {
    pub(super) document: &'a mut ClaimDocument,
    pub(super) hooks: &'a ClaimHooks,
    pub(super) now: Duration,
    pub(super) retention: Duration,
    /// Bytes that new claims may still reserve.
    pub(super) free_bytes: usize,
    /// Whether the document differs from the stored object.
    pub(super) is_changed: bool,
}

impl ClaimChange {
    /// Applies the change.
    ///
    /// `is_unconfirmed` states that the effect of an earlier write with this change is unknown. A
    /// pending claim of the same attempt then stems from that write and counts as granted.
    pub(super) fn apply(
        &self,
        target: &mut ChangeTarget<'_>,
        is_unconfirmed: bool,
    ) -> Result<ChangeReply> {
        match &self.kind {
            ChangeKind::Claim(claim) => self
                .apply_claim(claim, target, is_unconfirmed)
                .map(ChangeReply::Claim),
            ChangeKind::Finish(answer) => self.apply_finish(answer, target),
            ChangeKind::Abandon => self.apply_abandon(target),
        }
    }

    fn apply_claim(
        &self,
        claim: &NewClaim,
        target: &mut ChangeTarget<'_>,
        is_unconfirmed: bool,
    ) -> Result<ClaimOutcome> {
        if let Some(record) = target.document.record(self.digest) {
            let is_own = record.belongs_to(self.attempt);
            match record.state() {
                ClaimState::Pending if is_own && is_unconfirmed => {
                    return Ok(ClaimOutcome::Granted);
                }
                ClaimState::NotRun if is_own => {
                    return Err(Error::new(
                        ErrorKind::Internal,
                        format!(
                            "attempt {} was abandoned; use a new attempt id",
                            self.attempt
                        ),
                    ));
                }
                ClaimState::NotRun => {}
                _ if record.body_digest != claim.body_digest => {
                    return Ok(ClaimOutcome::KeyReused);
                }
                ClaimState::Finished => {
                    return Ok(ClaimOutcome::Finished(
                        record.answer.clone().unwrap_or_default(),
                    ));
                }
                ClaimState::Pending => return Ok(target.pending_outcome(record)),
            }
        }
        let record = self.new_record(claim, target.now);
        let freed = target
            .document
            .record(self.digest)
            .map_or(0, ClaimRecord::reserved_size);
        let needed = record.reserved_size();
        if needed > target.free_bytes + freed {
            return Err(target.object_full());
        }
        target.free_bytes = target.free_bytes + freed - needed;
        target.document.insert(self.digest, record);
        target.is_changed = true;
        Ok(ClaimOutcome::Granted)
    }

    fn apply_finish(
        &self,
        answer: &StoredAnswer,
        target: &mut ChangeTarget<'_>,
    ) -> Result<ChangeReply> {
        let now_ms = to_millis(target.now);
        let record = target
            .document
            .record_mut(self.digest)
            .filter(|record| record.belongs_to(self.attempt))
            .ok_or_else(|| self.missing_claim("finished").with_run_state(RunState::Ran))?;
        match record.state() {
            ClaimState::Pending => {
                record.state = ClaimState::Finished.into();
                record.answer = Some(answer.clone());
                record.changed_ms = now_ms;
                target.is_changed = true;
                Ok(ChangeReply::Recorded)
            }
            ClaimState::Finished => Ok(ChangeReply::Recorded),
            ClaimState::NotRun => Err(self.missing_claim("finished").with_run_state(RunState::Ran)),
        }
    }

    fn apply_abandon(&self, target: &mut ChangeTarget<'_>) -> Result<ChangeReply> {
        let now_ms = to_millis(target.now);
        // Without a record, this attempt blocks no later attempt, so there is nothing to mark.
        let Some(record) = target
            .document
            .record_mut(self.digest)
            .filter(|record| record.belongs_to(self.attempt))
        else {
            return Ok(ChangeReply::Recorded);
        };
        match record.state() {
            ClaimState::Pending => {
                record.state = ClaimState::NotRun.into();
                record.changed_ms = now_ms;
                target.is_changed = true;
                Ok(ChangeReply::Recorded)
            }
            ClaimState::NotRun => Ok(ChangeReply::Recorded),
            ClaimState::Finished => Err(self
                .missing_claim("abandoned")
                .with_run_state(RunState::Ran)),
        }
    }

    fn new_record(&self, claim: &NewClaim, now: Duration) -> ClaimRecord {
        ClaimRecord {
            key: self.digest.to_be_bytes().to_vec(),
            body_digest: claim.body_digest,
            request: self.attempt.request().to_u128().to_be_bytes().to_vec(),
            attempt: self.attempt.number(),
            instance: claim.instance.as_str().to_owned(),
            incarnation: claim.incarnation,
            state: ClaimState::Pending.into(),
            changed_ms: to_millis(now),
            deadline_ms: to_millis(now + claim.time_left),
            answer: None,
        }
    }

    fn missing_claim(&self, action: &str) -> Error {
        Error::new(
            ErrorKind::Internal,
            format!(
                "attempt {} holds no claim that could be {action}; check that each claim is ended once",
                self.attempt
            ),
        )
    }
}

impl ChangeTarget<'_> {
    fn pending_outcome(&self, record: &ClaimRecord) -> ClaimOutcome {
        let holder = InstanceId::from_name(&record.instance);
        let is_running = to_millis(self.now) < record.deadline_ms
            && self.hooks.is_live(&holder, record.incarnation);
        if is_running {
            ClaimOutcome::InProgress
        } else {
            ClaimOutcome::Unknown
        }
    }

    fn object_full(&self) -> Error {
        let wait = self
            .document
            .next_expiry(self.now, self.retention)
            .unwrap_or(self.retention)
            .clamp(Duration::from_secs(1), Duration::from_hours(1));
        Error::new(
            ErrorKind::Overloaded,
            "the claims object of this key is full until older claims expire",
        )
        .with_retry_after(wait)
    }
}

fn to_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
