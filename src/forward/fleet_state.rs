use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

use super::read_progress::{ReadProgress, Refutation};
use super::{ModelRef, RouteSet, UpstreamEntry};
use crate::id::UpstreamId;
use crate::relay::{ObjectKind, revision_era};

type UpstreamMap = BTreeMap<UpstreamId, Arc<UpstreamEntry>>;
type VersionMap = BTreeMap<ModelRef, u64>;

/// The latest configuration, upstreams and adapter versions known to this instance.
///
/// Each part has its own lock and is replaced as a whole, so that a reader holds a consistent
/// snapshot of it.
#[derive(Debug)]
pub struct FleetState {
    routes: Mutex<Option<Arc<RouteSet>>>,
    upstreams: Mutex<Option<Arc<UpstreamMap>>>,
    versions: watch::Sender<Arc<VersionMap>>,
    has_listed_versions: AtomicBool,
    knows_refusals: AtomicBool,
    /// The highest version of the configuration that a peer has in force.
    peer_version: AtomicU64,
    /// Whether any peer has stated its version.
    has_peer_version: AtomicBool,
    started_at: Instant,
    /// Whether this instance has once been able to route requests.
    was_complete: AtomicBool,
    /// Number of changes to the routes, upstreams and adapter versions.
    changes: watch::Sender<u64>,
    progress: [ReadProgress; 4],
    /// When the call to the store was sent by which the configuration was last confirmed.
    config_confirmed: Mutex<Option<Instant>>,
}

/// Time that this instance may stay behind its peers before it reads the objects again. A change
/// reaches all watchers within a few milliseconds.
const LAG_LIMIT: Duration = Duration::from_millis(300);

/// Time from the start in which an instance waits for a first message of a peer, if the store has come
/// back from an older copy before. Links open within two seconds.
const PEER_HELLO_WAIT: Duration = Duration::from_secs(3);

/// Time from the start in which an instance waits for the newest configuration that a peer has. After it,
/// a false statement of a faulty peer no longer keeps the instance from starting.
const PEER_VERSION_WAIT: Duration = Duration::from_secs(30);

/// Time after the store has refuted a revision of a peer in which the statements of peers cause no
/// further lists. It limits the calls that a faulty peer can cause, and all instances refute a revision
/// within it, so that they do not report it to each other for ever.
const REFUTATION_TIME: Duration = Duration::from_secs(5);

impl FleetState {
    /// Creates a state without configuration, upstreams or adapter versions.
    #[must_use]
    pub fn new() -> Self {
        Self {
            routes: Mutex::new(None),
            upstreams: Mutex::new(None),
            versions: watch::channel(Arc::default()).0,
            has_listed_versions: AtomicBool::new(false),
            knows_refusals: AtomicBool::new(false),
            peer_version: AtomicU64::new(0),
            has_peer_version: AtomicBool::new(false),
            started_at: Instant::now(),
            was_complete: AtomicBool::new(false),
            changes: watch::channel(0).0,
            progress: std::array::from_fn(|_| ReadProgress::new()),
            config_confirmed: Mutex::new(None),
        }
    }

    /// Returns the routes, or `None` before the first configuration.
    #[must_use]
    pub fn routes(&self) -> Option<Arc<RouteSet>> {
        self.routes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Replaces the routes if `set` has a strictly newer version, and returns whether it did.
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

    /// Records that the store, itself or through a peer, has answered a call for the configuration that
    /// was sent at `called_at`, so that all changes before it are known.
    pub fn record_config_confirmed(&self, called_at: Instant) {
        let mut confirmed = self.lock_config_confirmed();
        *confirmed = (*confirmed).max(Some(called_at));
    }

    /// Returns the time for which changes of the configuration may be unknown, or `None` before the
    /// first confirmation.
    #[must_use]
    pub fn config_age(&self) -> Option<Duration> {
        self.lock_config_confirmed()
            .map(|called_at| called_at.elapsed())
    }

    fn lock_config_confirmed(&self) -> MutexGuard<'_, Option<Instant>> {
        self.config_confirmed
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the listed upstreams; the map is empty before the first list.
    #[must_use]
    pub fn upstreams(&self) -> Arc<UpstreamMap> {
        self.upstreams
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
            .unwrap_or_default()
    }

    /// Replaces the list of upstreams and notifies subscribers.
    pub fn set_upstreams(&self, entries: UpstreamMap) {
        *self
            .upstreams
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Some(Arc::new(entries));
        self.notify();
    }

    /// Returns the latest announced version of each adapter.
    #[must_use]
    pub fn versions(&self) -> Arc<VersionMap> {
        Arc::clone(&self.versions.borrow())
    }

    /// Returns the lowest adapter version on which requests for `model` may start, or zero if any
    /// version is allowed.
    #[must_use]
    pub fn min_version(&self, model: &ModelRef) -> u64 {
        self.versions().get(model).copied().unwrap_or(0)
    }

    /// Raises the version of an adapter to `version` and returns whether it was lower before.
    pub fn adopt_version(&self, model: &ModelRef, version: u64) -> bool {
        let is_newer = self.versions.send_if_modified(|versions| {
            let is_newer = version > versions.get(model).copied().unwrap_or(0);
            if is_newer {
                Arc::make_mut(versions).insert(model.clone(), version);
            }
            is_newer
        });
        if is_newer {
            self.notify();
        }
        is_newer
    }

    /// Waits until a version of an adapter above `version` is known.
    pub async fn wait_for_newer_version(&self, model: &ModelRef, version: u64) {
        let mut versions = self.versions.subscribe();
        let is_newer = |known: &Arc<VersionMap>| known.get(model).is_some_and(|it| *it > version);
        // The wait can't fail, because this state owns the sender.
        let _versions = versions.wait_for(is_newer).await;
    }

    /// Records that all adapter versions of a list have been adopted.
    pub fn record_versions_listed(&self) {
        self.has_listed_versions.store(true, Ordering::Release);
    }

    /// Records that this instance knows which requests and parts of prompts are refused, from the store
    /// or from a peer that knows it.
    pub fn record_refusals_known(&self) {
        self.knows_refusals.store(true, Ordering::Release);
    }

    /// Returns whether this instance knows which requests and parts of prompts are refused.
    #[must_use]
    pub fn knows_refusals(&self) -> bool {
        self.knows_refusals.load(Ordering::Acquire)
    }

    /// Returns whether requests can be routed: routes, upstreams, adapter versions and refusals have
    /// been received.
    ///
    /// Without the versions, a request could run on an outdated version of its adapter, and without the
    /// refusals, it could crash upstreams again. A store that has come back from an older copy may give
    /// a starting instance an older configuration than its peers have, which must not be in force
    /// again.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        if self.was_complete.load(Ordering::Acquire) {
            return true;
        }
        if !self.has_heard_peers() {
            return false;
        }
        let newest = if self.started_at.elapsed() < PEER_VERSION_WAIT {
            self.peer_version.load(Ordering::Acquire)
        } else {
            0
        };
        let is_complete = self
            .routes()
            .is_some_and(|routes| routes.version() >= newest)
            && self.has_listed_versions.load(Ordering::Acquire)
            && self.knows_refusals()
            && self
                .upstreams
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .is_some();
        if is_complete {
            self.was_complete.store(true, Ordering::Release);
        }
        is_complete
    }

    /// Records the version of the configuration that a peer has in force.
    pub fn record_peer_version(&self, version: u64) {
        self.peer_version.fetch_max(version, Ordering::AcqRel);
        self.has_peer_version.store(true, Ordering::Release);
    }

    /// Returns whether a peer has stated its configuration, or none need be waited for.
    fn has_heard_peers(&self) -> bool {
        revision_era(self.stored_revision(ObjectKind::Config)) == 0
            || self.has_peer_version.load(Ordering::Acquire)
            || self.started_at.elapsed() >= PEER_HELLO_WAIT
    }

    /// Records that this instance has read a kind up to the revision `covered`, and that the latest
    /// change among these has the revision `seen`.
    pub fn record_own_revision(&self, kind: ObjectKind, seen: u64, covered: u64) {
        let progress = self.progress(kind);
        progress.seen.fetch_max(seen, Ordering::AcqRel);
        raise(&progress.covered, covered);
    }

    /// Returns the revision of the latest change of a kind that this instance has read.
    #[must_use]
    pub fn own_revision(&self, kind: ObjectKind) -> u64 {
        self.progress(kind).seen.load(Ordering::Acquire)
    }

    /// Returns the revision up to which this instance has read all changes of a kind, zero before the
    /// first list.
    #[must_use]
    pub fn covered_revision(&self, kind: ObjectKind) -> u64 {
        *self.progress(kind).covered.borrow()
    }

    /// Records that the store itself, not a peer, has answered this instance with a revision.
    pub fn record_stored_revision(&self, kind: ObjectKind, revision: u64) {
        let stored = &self.progress(kind).stored;
        stored.fetch_max(revision, Ordering::AcqRel);
    }

    /// Returns the highest revision that the store itself has stated to this instance.
    #[must_use]
    pub fn stored_revision(&self, kind: ObjectKind) -> u64 {
        self.progress(kind).stored.load(Ordering::Acquire)
    }

    /// Lowers the revisions that this instance has read to `revision`, because a peer has relayed higher
    /// ones that the store has not reached.
    pub fn lower_own_revision(&self, kind: ObjectKind, revision: u64) {
        let progress = self.progress(kind);
        progress.seen.fetch_min(revision, Ordering::AcqRel);
        progress
            .covered
            .send_modify(|covered| *covered = revision.min(*covered));
    }

    /// Returns the revision of the latest change of a kind that this instance or a peer has read.
    #[must_use]
    pub fn known_revision(&self, kind: ObjectKind) -> u64 {
        self.own_revision(kind)
            .max(*self.progress(kind).peers.borrow())
    }

    /// Records that a peer has read objects of a kind up to a revision, unless the store has just
    /// refuted that or a lower one.
    pub fn record_peer_revision(&self, kind: ObjectKind, revision: u64) {
        let progress = self.progress(kind);
        let refutation = progress.refutation();
        if refutation.is_none_or(|it| revision < it.revision) {
            raise(&progress.peers, revision);
        }
    }

    /// Returns the revision of the latest change of a kind that a peer has read, by its statement.
    #[must_use]
    pub fn peer_revision(&self, kind: ObjectKind) -> u64 {
        *self.progress(kind).peers.borrow()
    }

    /// Records that a list of a kind has the revision `covered`, and that a peer had stated `stated`
    /// before the list was requested.
    ///
    /// The revision of the store never decreases, so that no peer can have read a higher one before.
    pub fn check_peer_revision(&self, kind: ObjectKind, stated: u64, covered: u64) {
        if stated <= covered {
            return;
        }
        let progress = self.progress(kind);
        *progress.lock_refutation() = Some(Refutation {
            revision: stated,
            ends_at: Instant::now() + REFUTATION_TIME,
        });
        progress.peers.send_replace(covered);
    }

    /// Waits until a peer has been ahead for so long that a watch response must have been lost.
    ///
    /// `pause` is the time by which the instance that relays changes to this one may delay its own
    /// next watch call in order to coalesce changes.
    pub async fn wait_for_lag(&self, kind: ObjectKind, pause: Duration) {
        let progress = self.progress(kind);
        let (mut covered, mut peers) = (progress.covered.subscribe(), progress.peers.subscribe());
        loop {
            let ahead = *peers.borrow_and_update();
            if ahead > *covered.borrow_and_update() {
                // `wait_for` and `changed` can't fail: this state owns both senders.
                let caught_up = covered.wait_for(|revision| *revision >= ahead);
                let limit = Instant::now() + LAG_LIMIT + pause;
                let ends_at = progress.refutation().map(|it| it.ends_at);
                let limit = ends_at.map_or(limit, |ends_at| limit.max(ends_at));
                if timeout_at(limit, caught_up).await.is_err() {
                    return;
                }
            } else {
                let _changed = peers.changed().await;
            }
        }
    }

    const fn progress(&self, kind: ObjectKind) -> &ReadProgress {
        &self.progress[kind.index()]
    }

    /// Subscribes to changes of the routes, upstreams and adapter versions.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    fn notify(&self) {
        self.changes.send_modify(|count| *count += 1);
    }
}

fn raise(highest: &watch::Sender<u64>, revision: u64) {
    highest.send_if_modified(|known| {
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
