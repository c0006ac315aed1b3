use std::sync::atomic::AtomicU64;
use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;
use tokio::time::Instant;

/// The revisions up to which this instance and its peers have read one kind of object.
#[derive(Debug)]
pub(super) struct ReadProgress {
    /// The revision of the latest change that this instance has read.
    pub(super) seen: AtomicU64,
    /// The revision up to which this instance has read all changes.
    pub(super) covered: watch::Sender<u64>,
    /// The highest revision that the store itself has stated to this instance.
    pub(super) stored: AtomicU64,
    /// The revision of the latest change that any peer has read.
    pub(super) peers: watch::Sender<u64>,
    refutation: Mutex<Option<Refutation>>,
}

/// A revision that a peer has stated, and that the store had not reached afterwards.
#[derive(Debug, Clone, Copy)]
pub(super) struct Refutation {
    pub(super) revision: u64,
    /// When the revision may be reported again.
    pub(super) ends_at: Instant,
}

impl ReadProgress {
    pub(super) fn new() -> Self {
        Self {
            seen: AtomicU64::new(0),
            covered: watch::channel(0).0,
            stored: AtomicU64::new(0),
            peers: watch::channel(0).0,
            refutation: Mutex::new(None),
        }
    }

    /// Returns the refutation that is in force, if any.
    pub(super) fn refutation(&self) -> Option<Refutation> {
        let refutation = *self.lock_refutation();
        refutation.filter(|it| Instant::now() < it.ends_at)
    }

    pub(super) fn lock_refutation(&self) -> MutexGuard<'_, Option<Refutation>> {
        self.refutation
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
