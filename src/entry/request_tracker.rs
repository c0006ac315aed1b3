use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use tokio::sync::watch;

/// Counts the requests in progress and records whether the instance is shutting down.
#[derive(Debug, Clone)]
pub struct RequestTracker {
    count: Arc<watch::Sender<usize>>,
    is_draining: Arc<AtomicBool>,
}

impl Default for RequestTracker {
    fn default() -> Self {
        Self {
            count: Arc::new(watch::Sender::new(0)),
            is_draining: Arc::default(),
        }
    }
}

impl RequestTracker {
    /// Counts a request as in progress until the returned guard is dropped.
    #[must_use]
    pub fn track(&self) -> RequestGuard {
        self.count.send_modify(|count| *count += 1);
        RequestGuard {
            tracker: self.clone(),
        }
    }

    /// Returns the number of requests in progress.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        *self.count.borrow()
    }

    /// Marks the instance as shutting down.
    ///
    /// Requests that still arrive are served.
    pub fn start_draining(&self) {
        self.is_draining.store(true, Ordering::Release);
    }

    /// Returns whether the instance is shutting down.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Acquire)
    }

    /// Waits until no request is in progress.
    pub async fn wait_idle(&self) {
        let mut count = self.count.subscribe();
        // This tracker keeps the sender alive, so the wait cannot fail.
        drop(count.wait_for(|count| *count == 0).await);
    }
}

/// Keeps one request counted as in progress until it is dropped.
#[derive(Debug)]
pub struct RequestGuard {
    tracker: RequestTracker,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.tracker.count.send_modify(|count| *count -= 1);
    }
}
