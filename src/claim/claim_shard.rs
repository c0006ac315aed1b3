use std::collections::BTreeSet;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::runtime::Handle;
use tokio::sync::{Notify, oneshot};
use tokio::time::{sleep, timeout};

use super::claim_batch::ClaimBatch;
use super::claim_change::{ChangeReply, ClaimChange};
use super::claim_context::ClaimContext;
use super::claim_queue::ClaimQueue;
use super::waiting_change::WaitingChange;
use crate::error::{Error, ErrorKind, Result};
use crate::id::AttemptId;

/// Delay before the first retry for withdrawn attempts; doubles up to the configured limit.
const INITIAL_WITHDRAW_DELAY: Duration = Duration::from_secs(1);

/// One object of claims with its queue of changes.
///
/// This instance has at most one write of the object in flight. Changes that arrive in the meantime
/// are batched into the next write, so the write rate does not grow with the load.
#[derive(Debug)]
pub(super) struct ClaimShard {
    name: String,
    context: Arc<ClaimContext>,
    queue: Mutex<ClaimQueue>,
    /// The highest version of the object that this instance has seen.
    highest_version: AtomicU64,
    arrival: Notify,
}

impl ClaimShard {
    pub(super) fn new(index: usize, context: Arc<ClaimContext>) -> Self {
        Self {
            name: format!("claims/{index}"),
            context,
            queue: Mutex::default(),
            highest_version: AtomicU64::new(0),
            arrival: Notify::new(),
        }
    }

    /// Queues a change and returns the receiver of its result.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Overloaded`] if the queue is full, and [`ErrorKind::Internal`] for a
    /// claim whose attempt was withdrawn.
    pub(super) fn submit(
        self: &Arc<Self>,
        change: ClaimChange,
    ) -> Result<oneshot::Receiver<Result<ChangeReply>>> {
        let (reply, receiver) = oneshot::channel();
        let waiting = WaitingChange {
            change,
            reply,
            is_unconfirmed: false,
        };
        let limit = self.context.config.queue_limit;
        let mut queue = self.lock();
        // Finishes and abandons of granted claims may use twice the limit for new claims.
        let limit = if waiting.is_claim() { limit } else { limit * 2 };
        if queue.waiting.len() >= limit {
            return Err(Error::new(
                ErrorKind::Overloaded,
                format!("{limit} changes wait for {}", self.name),
            )
            .with_retry_after(Duration::from_secs(1)));
        }
        let withdrawn = (waiting.change.digest, waiting.change.attempt);
        if waiting.is_claim() && queue.withdrawn.contains(&withdrawn) {
            return Err(Error::new(
                ErrorKind::Internal,
                format!(
                    "attempt {} was refused before; use a new attempt id",
                    withdrawn.1
                ),
            ));
        }
        queue.waiting.push_back(waiting);
        self.start(&mut queue);
        Ok(receiver)
    }

    /// Withdraws a claim that will never be dispatched.
    ///
    /// A claim that is no longer queued is marked as not run as soon as the store is reachable.
    pub(super) fn withdraw(self: &Arc<Self>, digest: u128, attempt: AttemptId) {
        let mut queue = self.lock();
        if !queue.remove_claim(digest, attempt) {
            queue.withdraw(digest, attempt, self.context.config.queue_limit);
            self.start(&mut queue);
        }
    }

    fn start(self: &Arc<Self>, queue: &mut ClaimQueue) {
        self.arrival.notify_one();
        // Without a runtime the process is exiting, and no further write is possible.
        if let Ok(runtime) = Handle::try_current()
            && !queue.is_running
        {
            queue.is_running = true;
            runtime.spawn(Arc::clone(self).run());
        }
    }

    async fn run(self: Arc<Self>) {
        let mut delay = INITIAL_WITHDRAW_DELAY;
        loop {
            let (changes, withdrawn) = {
                let mut queue = self.lock();
                if queue.waiting.is_empty() && queue.withdrawn.is_empty() {
                    queue.is_running = false;
                    return;
                }
                let changes = queue.drain_batch(self.context.config.batch_limit);
                (changes, queue.withdrawn.clone())
            };
            if self.run_batch(changes, withdrawn).await {
                delay = INITIAL_WITHDRAW_DELAY;
            } else if self.lock().waiting.is_empty() {
                // A new change ends the delay early. Withdrawn attempts alone are not urgent.
                if timeout(delay, self.arrival.notified()).await.is_err() {
                    delay = (delay * 2).min(self.context.config.withdraw_delay);
                }
            }
        }
    }

    /// Retries a batch until it succeeds or is refused as a whole; returns whether it succeeded.
    async fn run_batch(
        &self,
        changes: Vec<WaitingChange>,
        withdrawn: BTreeSet<(u128, AttemptId)>,
    ) -> bool {
        let mut batch = ClaimBatch::new(
            &self.name,
            &self.context,
            &self.highest_version,
            changes,
            withdrawn,
        );
        let result = loop {
            match batch.attempt().await {
                Ok(true) => break Ok(()),
                Ok(false) => sleep(self.context.retry_delay()).await,
                Err(error) => break Err(error),
            }
        };
        let late_claims = {
            let mut queue = self.lock();
            match &result {
                Ok(()) => {
                    for item in batch.withdrawn() {
                        queue.withdrawn.remove(item);
                    }
                    Vec::new()
                }
                Err(error) => {
                    for (digest, attempt) in batch.refuse(error) {
                        queue.withdraw(digest, attempt, self.context.config.queue_limit);
                    }
                    queue.drain_claims()
                }
            }
        };
        batch.send_replies();
        if let Err(error) = &result {
            // Claims queued in the meantime are refused now; they would wait just as long for the
            // same refusal.
            let mut batch = ClaimBatch::new(
                &self.name,
                &self.context,
                &self.highest_version,
                late_claims,
                BTreeSet::new(),
            );
            batch.refuse(error);
            batch.send_replies();
        }
        result.is_ok()
    }

    fn lock(&self) -> MutexGuard<'_, ClaimQueue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
