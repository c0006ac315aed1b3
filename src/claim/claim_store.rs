use std::sync::Arc;
use std::time::Duration;

use super::claim_change::{ChangeKind, ChangeReply, ClaimChange, NewClaim};
use super::claim_context::ClaimContext;
use super::claim_counters::ClaimCounters;
use super::claim_guard::ClaimGuard;
use super::claim_shard::ClaimShard;
use super::{
    ClaimConfig, ClaimCounts, ClaimHooks, ClaimKey, ClaimOutcome, ClaimStorage, StoredAnswer,
};
use crate::error::{Error, ErrorKind, Result, RunState};
use crate::id::{AttemptId, InstanceId};

/// Claims idempotency keys for requests that may run at most once.
///
/// The holder of a granted claim dispatches its request at most once and then calls
/// [`finish`](Self::finish), or calls [`abandon`](Self::abandon) if no byte of the request was
/// written to an upstream. Without either call the claim stays pending: a request with the same key
/// is then answered with "in progress" or "unknown" and does not run.
#[derive(Debug, Clone)]
pub struct ClaimStore {
    shards: Arc<Vec<Arc<ClaimShard>>>,
    context: Arc<ClaimContext>,
    incarnation: u64,
}

impl ClaimStore {
    /// Creates a store; `incarnation` identifies this process in its claims.
    ///
    /// # Panics
    ///
    /// Panics if the number of shards is zero.
    #[must_use]
    pub fn new(
        storage: ClaimStorage,
        config: ClaimConfig,
        hooks: ClaimHooks,
        incarnation: u64,
    ) -> Self {
        assert!(config.shards > 0, "claims need at least one shard");
        let context = Arc::new(ClaimContext {
            storage,
            config,
            hooks,
            counters: ClaimCounters::default(),
        });
        let shards = (0..context.config.shards)
            .map(|index| Arc::new(ClaimShard::new(index, Arc::clone(&context))))
            .collect();
        Self {
            shards: Arc::new(shards),
            context,
            incarnation,
        }
    }

    /// Claims a key for an attempt.
    ///
    /// `attempt` must not have been used for a claim before. `time_left` is the time until the
    /// deadline of the request, after which a pending claim counts as unknown.
    ///
    /// # Errors
    ///
    /// Fails if the object store did not answer or the effect of the write is unknown, if the
    /// object was changed by others too often, is full, was lost or cannot be decoded, if the queue
    /// is full, or if the attempt was abandoned or withdrawn before. After any error the request
    /// must not be dispatched, and its run state is "not run".
    pub async fn claim(
        &self,
        key: &ClaimKey,
        body_digest: u64,
        attempt: AttemptId,
        instance: &InstanceId,
        time_left: Duration,
    ) -> Result<ClaimOutcome> {
        let shard = self.shard(key);
        let claim = NewClaim {
            body_digest,
            instance: instance.clone(),
            incarnation: self.incarnation,
            time_left,
        };
        let receiver = self.submit(key, attempt, ChangeKind::Claim(Box::new(claim)))?;
        let guard = ClaimGuard::new(shard, key.digest(), attempt);
        let reply = receiver.await.map_err(|_closed| writer_stopped())?;
        guard.disarm();
        match reply? {
            ChangeReply::Claim(outcome) => Ok(outcome),
            ChangeReply::Recorded => Err(writer_stopped()),
        }
    }

    /// Records the answer of a granted attempt.
    ///
    /// A body larger than the limit is not stored. The call may be repeated after an error.
    ///
    /// # Errors
    ///
    /// Fails with run state "ran" if the queue is full, the object store did not answer, or the
    /// attempt holds no claim that can be finished. A pending claim then stays pending, unless a
    /// write whose reply was lost has finished it.
    pub async fn finish(
        &self,
        key: &ClaimKey,
        attempt: AttemptId,
        mut answer: StoredAnswer,
    ) -> Result<()> {
        let limit = self.context.config.body_limit;
        if answer.body.as_ref().is_some_and(|body| body.len() > limit) {
            answer.body = None;
        }
        let receiver = self
            .submit(key, attempt, ChangeKind::Finish(answer))
            .map_err(|error| error.with_run_state(RunState::Ran))?;
        receiver
            .await
            .map_err(|_closed| writer_stopped().with_run_state(RunState::Ran))??;
        Ok(())
    }

    /// Marks a granted attempt as not run, so that its key can be claimed again.
    ///
    /// Only the holder may call this, and only if no byte of the request was or will be written to
    /// an upstream.
    ///
    /// # Errors
    ///
    /// Fails if the queue is full or the object store did not answer; the claim is then marked
    /// later, as long as this process runs. Also fails if the attempt has finished.
    pub async fn abandon(&self, key: &ClaimKey, attempt: AttemptId) -> Result<()> {
        match self.submit(key, attempt, ChangeKind::Abandon) {
            Ok(receiver) => {
                receiver.await.map_err(|_closed| writer_stopped())??;
                Ok(())
            }
            Err(error) => {
                self.shard(key).withdraw(key.digest(), attempt);
                Err(error)
            }
        }
    }

    /// Returns a snapshot of the counters since the creation of the store.
    #[must_use]
    pub fn counts(&self) -> ClaimCounts {
        self.context.counters.to_counts()
    }

    fn submit(
        &self,
        key: &ClaimKey,
        attempt: AttemptId,
        kind: ChangeKind,
    ) -> Result<tokio::sync::oneshot::Receiver<Result<ChangeReply>>> {
        let change = ClaimChange {
            digest: key.digest(),
            attempt,
            kind,
        };
        self.shard(key).submit(change).inspect_err(|_error| {
            ClaimCounters::increment(&self.context.counters.refused);
        })
    }

    fn shard(&self, key: &ClaimKey) -> &Arc<ClaimShard> {
        &self.shards[key.shard(self.shards.len())]
    }
}

fn writer_stopped() -> Error {
    Error::new(
        ErrorKind::Internal,
        "the task that writes claims has ended; check the log for its failure",
    )
}
