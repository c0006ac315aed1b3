use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use tokio::sync::watch;

use super::{ModelRef, RouteSet, UpstreamEntry};
use crate::id::UpstreamId;

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
}

impl FleetState {
    /// Creates a state that knows nothing.
    #[must_use]
    pub fn new() -> Self {
        Self {
            routes: Mutex::new(None),
            upstreams: Mutex::new(None),
            versions: Mutex::default(),
            changes: watch::channel(0).0,
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
        self.tell();
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
        self.tell();
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
    pub fn announce_version(&self, model: &ModelRef, version: u64) {
        let mut versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        if versions.get(model).is_none_or(|known| *known < version) {
            Arc::make_mut(&mut versions).insert(model.clone(), version);
            drop(versions);
            self.tell();
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

    /// Subscribes to changes.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    fn tell(&self) {
        self.changes.send_modify(|count| *count += 1);
    }
}

impl Default for FleetState {
    fn default() -> Self {
        Self::new()
    }
}
