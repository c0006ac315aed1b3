use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::timeout;

use super::{ModelRef, RouteSet, UpstreamEntry};
use crate::id::UpstreamId;
use crate::relay::ObjectKind;

type UpstreamMap = BTreeMap<UpstreamId, Arc<UpstreamEntry>>;

/// The newest configuration, upstreams and adapter versions that this instance knows.
///
/// Each part has its own lock and is replaced whole, so that a reader keeps a consistent part.
#[derive(Debug)]
pub struct FleetState {
    routes: Mutex<Option<Arc<RouteSet>>>,
    upstreams: Mutex<Option<Arc<UpstreamMap>>>,
    versions: Mutex<Arc<BTreeMap<ModelRef, u64>>>,
    changes: watch::Sender<u64>,
    progress: [FeedProgress; 4],
}

/// How far this instance and its peers have followed one kind of objects.
#[derive(Debug)]
struct FeedProgress {
    /// The revision of the newest change that this instance has read.
    seen: AtomicU64,
    /// The revision up to which this instance has read everything.
    covered: watch::Sender<u64>,
    /// The revision of the newest change that a peer has read.
    peers: watch::Sender<u64>,
}

impl FeedProgress {
    fn new() -> Self {
        Self {
            seen: AtomicU64::new(0),
            covered: watch::channel(0).0,
            peers: watch::channel(0).0,
        }
    }
}

/// Time that an instance may be behind its peers before it reads anew; a change reaches all that ask
/// within some milliseconds.
const LAG_LIMIT: Duration = Duration::from_millis(300);

impl FleetState {
    /// Creates a state that knows nothing.
    #[must_use]
    pub fn new() -> Self {
        Self {
            routes: Mutex::new(None),
            upstreams: Mutex::new(None),
            versions: Mutex::default(),
            changes: watch::channel(0).0,
            progress: std::array::from_fn(|_| FeedProgress::new()),
        }
    }

    /// Returns the routes; none before the first configuration.
    #[must_use]
    pub fn routes(&self) -> Option<Arc<RouteSet>> {
        self.routes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Adopts a strictly newer configuration; returns whether it did.
    pub fn adopt_routes(&self, set: RouteSet) -> bool {
        let mut routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        if routes
            .as_ref()
            .is_some_and(|known| known.version() >= set.version())
        {
            return false;
        }
        *routes = Some(Arc::new(set));
        drop(routes);
        self.notify();
        true
    }

    /// Returns the upstreams; empty before the first list.
    #[must_use]
    pub fn upstreams(&self) -> Arc<UpstreamMap> {
        self.upstreams
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
            .unwrap_or_default()
    }

    /// Replaces the list of upstreams.
    pub fn set_upstreams(&self, entries: UpstreamMap) {
        *self
            .upstreams
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Some(Arc::new(entries));
        self.notify();
    }

    /// Returns the announced adapter versions.
    #[must_use]
    pub fn versions(&self) -> Arc<BTreeMap<ModelRef, u64>> {
        Arc::clone(&self.versions.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns the lowest version on which requests for `model` may start; zero if any will do.
    #[must_use]
    pub fn min_version(&self, model: &ModelRef) -> u64 {
        self.versions().get(model).copied().unwrap_or(0)
    }

    /// Takes an announced version; an older one than the known changes nothing.
    pub fn adopt_version(&self, model: &ModelRef, version: u64) {
        let mut versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        if versions.get(model).is_none_or(|known| *known < version) {
            Arc::make_mut(&mut versions).insert(model.clone(), version);
            drop(versions);
            self.notify();
        }
    }

    /// Returns whether requests can be routed.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.routes().is_some()
            && self
                .upstreams
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .is_some()
    }

    /// Notes that the newest change of a kind has the revision `seen`, and that everything up to the
    /// revision `covered` was read.
    pub fn record_own_revision(&self, kind: ObjectKind, seen: u64, covered: u64) {
        let progress = self.progress(kind);
        progress.seen.fetch_max(seen, Ordering::AcqRel);
        raise(&progress.covered, covered);
    }

    /// Returns the revision of the newest change of a kind that was read.
    #[must_use]
    pub fn own_revision(&self, kind: ObjectKind) -> u64 {
        self.progress(kind).seen.load(Ordering::Acquire)
    }

    /// Returns the revision of the newest change of a kind that this instance or a peer has read.
    #[must_use]
    pub fn known_revision(&self, kind: ObjectKind) -> u64 {
        self.own_revision(kind)
            .max(*self.progress(kind).peers.borrow())
    }

    /// Notes that a peer has read objects of a kind up to a revision.
    pub fn record_peer_revision(&self, kind: ObjectKind, revision: u64) {
        raise(&self.progress(kind).peers, revision);
    }

    /// Waits until a peer has been ahead for so long that an answer must be lost; whoever answers
    /// may pause between changes for `pause`.
    pub async fn wait_for_lag(&self, kind: ObjectKind, pause: Duration) {
        let progress = self.progress(kind);
        let (mut covered, mut peers) = (progress.covered.subscribe(), progress.peers.subscribe());
        loop {
            let ahead = *peers.borrow_and_update();
            if ahead > *covered.borrow_and_update() {
                // Both senders live as long as this state.
                let caught_up = covered.wait_for(|revision| *revision >= ahead);
                if timeout(LAG_LIMIT + pause, caught_up).await.is_err() {
                    return;
                }
            } else {
                let _changed = peers.changed().await;
            }
        }
    }

    const fn progress(&self, kind: ObjectKind) -> &FeedProgress {
        &self.progress[kind.index()]
    }

    /// Subscribes to changes.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    fn notify(&self) {
        self.changes.send_modify(|count| *count += 1);
    }
}

fn raise(progress: &watch::Sender<u64>, revision: u64) {
    progress.send_if_modified(|known| {
        let is_newer = revision > *known;
        if is_newer {
            *known = revision;
        }
        is_newer
    });
}

impl Default for FleetState {
    fn default() -> Self {
        Self::new()
    }
}
