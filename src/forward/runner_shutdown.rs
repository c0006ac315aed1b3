use std::time::Duration;

use tokio::time::{Instant, sleep_until};

use super::forward_run::ForwardRun;
use super::local_response::{LocalResponse, RETRY_AFTER_SHUTDOWN, unavailable};
use super::{ForwardRoute, RequestRunner, RouteKind, ShutdownPlan};

/// Time before the exit of this process at which requests without a response are answered.
const EXIT_MARGIN: Duration = Duration::from_millis(200);

/// What is refused, and when, because this process exits.
impl RequestRunner {
    /// Rejects requests from now on that might not complete before this process exits, and answers
    /// those that are still without a response shortly before.
    pub fn begin_shutdown(&self, exit: Instant) {
        let plan = ShutdownPlan::new(Instant::now(), exit);
        self.shutdown.send_replace(Some(plan));
    }

    /// Waits until requests without a response must be answered, because this process exits.
    pub(super) async fn wait_for_exit(&self) {
        if let Some(plan) = self.wait_for_shutdown().await {
            sleep_until(plan.exit() - EXIT_MARGIN).await;
        }
    }

    /// Waits until this process shuts down.
    async fn wait_for_shutdown(&self) -> Option<ShutdownPlan> {
        let mut shutdown = self.shutdown.subscribe();
        // The wait can't fail, because this runner owns the sender.
        shutdown
            .wait_for(Option::is_some)
            .await
            .ok()
            .and_then(|plan| *plan)
    }

    /// Returns whether a request that arrives now can complete before this process exits.
    pub(super) fn can_finish_before_shutdown(
        &self,
        route: &ForwardRoute,
        deadline: Instant,
        now: Instant,
    ) -> bool {
        let plan = *self.shutdown.borrow();
        plan.is_none_or(|plan| match route.kind {
            RouteKind::Stream => plan.may_send(deadline, now),
            RouteKind::Idempotent | RouteKind::NonIdempotent => plan.fits(deadline),
        })
    }

    /// Returns the refusal of a request that may not be sent any more because this process exits. A
    /// resumption is sent up to the end, as its caller can lose no more by it.
    pub(super) fn shutdown_refusal(&self, run: &ForwardRun) -> Option<LocalResponse> {
        let plan = (*self.shutdown.borrow()).filter(|_| !run.is_resuming)?;
        (!plan.may_send(run.deadline, Instant::now()))
            .then(|| unavailable("shutting down", RETRY_AFTER_SHUTDOWN))
    }

    /// Waits until the request may not be sent any more because this process exits.
    pub(super) async fn wait_for_cutoff(&self, run: &ForwardRun) {
        match self.wait_for_shutdown().await {
            Some(plan) if !plan.fits(run.deadline) && !run.is_resuming => {
                sleep_until(plan.cutoff()).await;
            }
            _ => std::future::pending().await,
        }
    }
}
