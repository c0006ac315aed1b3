/// The permits for loads from the weight store that this instance holds.
#[derive(Debug, Default)]
pub(super) struct FetchPermits {
    free: Vec<u64>,
    used: Vec<u64>,
    open_bids: usize,
}

/// The bids and returned permits to send to the permit pool.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct PermitStep {
    /// The number of permits to bid for.
    pub(super) bids: usize,
    /// The permits to return.
    pub(super) returns: Vec<u64>,
}

/// Maximum number of open bids; more would only queue at the pool.
const MAX_BIDS: usize = 4;

impl FetchPermits {
    /// Returns whether a permit is available for another load.
    pub(super) const fn has_free(&self) -> bool {
        !self.free.is_empty()
    }

    /// Returns the number of permits that no load uses yet.
    pub(super) const fn free_count(&self) -> usize {
        self.free.len()
    }

    /// Assigns a free permit, if there is one, to a load that starts.
    pub(super) fn consume(&mut self) {
        if let Some(permit) = self.free.pop() {
            self.used.push(permit);
        }
    }

    /// Records the outcome of a bid; `permit` is `None` if the bid was not granted.
    pub(super) fn bid_answered(&mut self, permit: Option<u64>) {
        self.open_bids = self.open_bids.saturating_sub(1);
        self.free.extend(permit);
    }

    /// Matches the permits to `fetches`, the loads in progress, and `waiting`, the loads that have
    /// not started; returns what to send to the pool.
    pub(super) fn reconcile(&mut self, fetches: usize, waiting: usize) -> PermitStep {
        let surplus = self.used.len().saturating_sub(fetches);
        let mut returns: Vec<u64> = self.used.drain(..surplus).collect();
        // Reusing the permit of a finished load for a waiting one saves a round trip to the pool.
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
