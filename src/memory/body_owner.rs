use std::sync::Arc;

use bytes::BytesMut;

use super::MemoryBudget;

/// A complete body, which stays charged until its last reader has dropped it.
#[derive(Debug)]
pub(super) struct BodyOwner {
    budget: Arc<MemoryBudget>,
    bytes: BytesMut,
}

impl BodyOwner {
    /// Takes over a body that has been charged with its capacity.
    pub(super) const fn new(budget: Arc<MemoryBudget>, bytes: BytesMut) -> Self {
        Self { budget, bytes }
    }
}

impl AsRef<[u8]> for BodyOwner {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for BodyOwner {
    fn drop(&mut self) {
        let charged = self.bytes.capacity();
        self.budget.lock().used -= charged;
    }
}
