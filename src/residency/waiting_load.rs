use std::time::Duration;

use tokio::sync::oneshot;

/// The reason why a load is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadRefusal {
    /// The load would not finish in time.
    TooLate,
    /// This instance does not own the upstream, or no longer does.
    NotOwner,
    /// This instance holds the lease, but has been unable to confirm it for so long that no load
    /// can be expected to finish in time.
    Unconfirmed,
}

/// A request that waits for a load.
#[derive(Debug)]
pub struct LoadWaiter {
    /// Value of serving the request on time, in thousandths.
    pub value: u32,
    /// The time after which a load no longer leads to an answer on time.
    pub late_at: Duration,
    /// The time after which the request can no longer be served.
    pub expires_at: Duration,
    /// Receives the version that became resident, or the refusal.
    pub reply: oneshot::Sender<Result<u64, LoadRefusal>>,
}

/// A load that has not been ordered yet.
#[derive(Debug)]
pub(super) struct WaitingLoad {
    /// The lowest version that satisfies all waiting requests.
    pub(super) min_version: u64,
    pub(super) waiters: Vec<LoadWaiter>,
    /// The time at which the load was first requested.
    pub(super) since: Duration,
}

/// Divisor of the value of a late answer; callers of the known deployments value one at a quarter
/// to a third of an answer on time.
const LATE_VALUE_DIVISOR: u32 = 3;

impl WaitingLoad {
    /// Returns the total value of the waiting requests if the load finishes at `ready_at`.
    ///
    /// Late requests count less, so that in a surge of first requests for rare adapters the loads
    /// go to requests that can still be answered on time, not to those that have waited longest.
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

    /// Refuses the requests that a load finished at `ready_at` would serve too late, and drops
    /// those whose caller has left.
    pub(super) fn prune(&mut self, ready_at: Duration) {
        let mut kept = Vec::with_capacity(self.waiters.len());
        for waiter in self.waiters.drain(..) {
            if waiter.reply.is_closed() {
                continue;
            }
            if waiter.expires_at < ready_at {
                // The receiver may have been dropped in the meantime.
                let _result = waiter.reply.send(Err(LoadRefusal::TooLate));
                continue;
            }
            kept.push(waiter);
        }
        self.waiters = kept;
    }
}
