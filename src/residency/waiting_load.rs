use std::time::Duration;

use tokio::sync::oneshot;

/// Why an adapter is not made resident for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadRefusal {
    /// The load would not be done in time.
    TooLate,
    /// This instance does not own the upstream any more.
    NotOwner,
    /// This instance owns the upstream, but has not been able to confirm it for so long that no load
    /// can be expected in time.
    Unconfirmed,
}

/// A request that waits for a load.
#[derive(Debug)]
pub struct LoadWaiter {
    /// Value of serving the request on time, in thousandths.
    pub value: u32,
    /// The time from which the answer is late.
    pub late_at: Duration,
    /// The time from which the load is of no use to it.
    pub expires_at: Duration,
    /// Takes the version that became resident.
    pub reply: oneshot::Sender<Result<u64, LoadRefusal>>,
}

/// A load that has not been ordered yet.
#[derive(Debug)]
pub(super) struct WaitingLoad {
    /// The lowest version that will do.
    pub(super) min_version: u64,
    /// The requests.
    pub(super) waiters: Vec<LoadWaiter>,
    /// Since when the load waits.
    pub(super) since: Duration,
}

/// Share of its value that a late answer keeps: callers of both deployments give a quarter to a
/// third for one.
const LATE_VALUE_DIVISOR: u32 = 3;

impl WaitingLoad {
    /// Returns the value of a load that is done at `ready_at`.
    ///
    /// Answers a surge of first requests for rare adapters: loads go first to those that can still
    /// be answered on time, not to those that have waited longest.
    pub(super) fn value(&self, ready_at: Duration) -> u32 {
        let value_of = |waiter: &LoadWaiter| {
            if waiter.late_at < ready_at {
                waiter.value / LATE_VALUE_DIVISOR
            } else {
                waiter.value
            }
        };
        self.waiters.iter().map(value_of).sum()
    }

    /// Refuses waiters that can't be served in time.
    pub(super) fn prune(&mut self, ready_at: Duration) {
        let mut kept = Vec::with_capacity(self.waiters.len());
        for waiter in self.waiters.drain(..) {
            if waiter.reply.is_closed() {
                continue;
            }
            if waiter.expires_at < ready_at {
                // The receiver may have gone in the meantime.
                let _gone = waiter.reply.send(Err(LoadRefusal::TooLate));
                continue;
            }
            kept.push(waiter);
        }
        self.waiters = kept;
    }
}
