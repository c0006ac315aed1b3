use std::time::Duration;

use tokio::sync::watch;

/// A subscription to the ticks of a [`TimerService`](super::TimerService).
#[derive(Debug)]
pub struct TimerTicks {
    receiver: watch::Receiver<Duration>,
}

impl TimerTicks {
    pub(super) const fn new(receiver: watch::Receiver<Duration>) -> Self {
        Self { receiver }
    }

    /// Waits for the next tick and returns its time; stays pending once the runtime has stopped.
    pub async fn next(&mut self) -> Duration {
        if self.receiver.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
        *self.receiver.borrow_and_update()
    }
}
