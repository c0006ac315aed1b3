use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use super::AllowanceLedger;

/// Units of an allowance that an admitted request holds.
///
/// They are refunded when the grant is dropped and no upstream may have run the request.
#[derive(Debug)]
pub struct AllowanceGrant {
    ledger: Arc<AllowanceLedger>,
    workspace: String,
    cost: f64,
    may_have_run: Arc<AtomicBool>,
}

impl AllowanceGrant {
    pub(super) fn new(ledger: Arc<AllowanceLedger>, workspace: &str, cost: f64) -> Self {
        Self {
            ledger,
            workspace: workspace.to_owned(),
            cost,
            may_have_run: Arc::default(),
        }
    }

    /// Takes `may_have_run` as the statement of whether an upstream may have run the request.
    pub fn follow(&mut self, may_have_run: &Arc<AtomicBool>) {
        self.may_have_run = Arc::clone(may_have_run);
    }
}

impl Drop for AllowanceGrant {
    fn drop(&mut self) {
        if !self.may_have_run.load(Ordering::Acquire) {
            self.ledger.refund(&self.workspace, self.cost);
        }
    }
}
