/// The permits for loads from the weight store that this instance holds.
#[derive(Debug, Default)]
pub(super) struct FetchPermits {
    free: Vec<u64>,
    used: Vec<u64>,
    open_bids: usize,
}

/// What has to be sent to the pool.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct PermitStep {
    /// Permits to bid for.
    pub(super) bids: usize,
    /// Permits to give back.
    pub(super) returns: Vec<u64>,
}

/// Bids that may be open at a time; more would only queue at the pool.
const MAX_BIDS: usize = 4;

impl FetchPermits {
    /// Returns whether a load may start.
    pub(super) const fn is_free(&self) -> bool {
        !self.free.is_empty()
    }

    /// Counts the permits that no load uses yet.
    pub(super) const fn free_count(&self) -> usize {
        self.free.len()
    }

    /// Uses a permit for a load.
    pub(super) fn consume(&mut self) {
        if let Some(permit) = self.free.pop() {
            self.used.push(permit);
        }
    }

    /// Takes the outcome of a bid.
    pub(super) fn bid_answered(&mut self, permit: Option<u64>) {
        self.open_bids = self.open_bids.saturating_sub(1);
        self.free.extend(permit);
    }

    /// Compares the permits with the loads that are on their way and those that wait.
    pub(super) fn reconcile(&mut self, fetches: usize, waiting: usize) -> PermitStep {
        let surplus = self.used.len().saturating_sub(fetches);
        let mut returns: Vec<u64> = self.used.drain(..surplus).collect();
        // A permit that is free while loads wait saves the way to the pool.
        while !returns.is_empty() && self.free.len() < waiting {
            self.free.extend(returns.pop());
        }
        while self.free.len() > waiting {
            returns.extend(self.free.pop());
        }
        let open = self.free.len() + self.open_bids;
        let bids = waiting.min(MAX_BIDS).saturating_sub(open);
        self.open_bids += bids;
        PermitStep { bids, returns }
    }
}
