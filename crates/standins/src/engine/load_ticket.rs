use super::WeightStore;

/// A load in flight at a weight store; it ends when the ticket is dropped.
#[derive(Debug)]
pub(super) struct LoadTicket {
    store: WeightStore,
    slowdown: f64,
}

impl LoadTicket {
    pub(super) const fn new(store: WeightStore, slowdown: f64) -> Self {
        Self { store, slowdown }
    }

    /// Returns the factor by which the load is slower than at full speed.
    pub(super) const fn slowdown(&self) -> f64 {
        self.slowdown
    }
}

impl Drop for LoadTicket {
    fn drop(&mut self) {
        self.store.end();
    }
}
