use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Numbers connections and knows which of them have been made unresponsive.
#[derive(Debug, Clone, Default)]
pub(crate) struct ConnectionGate {
    opened: Arc<AtomicU64>,
    silent_below: Arc<AtomicU64>,
}

impl ConnectionGate {
    /// Returns the number of a new connection.
    pub(crate) fn open(&self) -> u64 {
        self.opened.fetch_add(1, Ordering::AcqRel)
    }

    /// Makes all present connections unresponsive; later ones work.
    pub(crate) fn silence(&self) {
        self.silent_below
            .store(self.opened.load(Ordering::Acquire), Ordering::Release);
    }

    /// Never returns for an unresponsive connection.
    pub(crate) async fn pass(&self, connection: u64) {
        if connection < self.silent_below.load(Ordering::Acquire) {
            std::future::pending::<()>().await;
        }
    }
}
