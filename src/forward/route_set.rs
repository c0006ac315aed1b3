use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::{ForwardRoute, ForwardService};

/// One version of the routes and services.
#[derive(Debug)]
pub struct RouteSet {
    version: u64,
    by_host: BTreeMap<String, Vec<Arc<ForwardRoute>>>,
    services: BTreeMap<String, Arc<ForwardService>>,
    limits: CallerLimits,
}

/// What a caller may send, and how slowly.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for a request's head, from its first byte.
    pub head_timeout: Duration,
    /// Time that a connection may stay idle.
    pub idle_timeout: Duration,
}

impl RouteSet {
    /// Builds the lookup of `routes`.
    #[must_use]
    pub fn new(
        version: u64,
        routes: Vec<ForwardRoute>,
        services: Vec<ForwardService>,
        limits: CallerLimits,
    ) -> Self {
        let mut by_host: BTreeMap<String, Vec<Arc<ForwardRoute>>> = BTreeMap::new();
        for route in routes {
            let host = by_host.entry(route.host.to_ascii_lowercase()).or_default();
            host.push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            // The longest prefix comes first, so that the first match is the right one.
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services
            .into_iter()
            .map(|service| (service.name.clone(), Arc::new(service)))
            .collect();
        Self {
            version,
            by_host,
            services,
            limits,
        }
    }

    /// Returns the version.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns what callers may send.
    #[must_use]
    pub const fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Finds the route with the longest prefix of `path` at `host`.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<ForwardRoute>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = if name.bytes().any(|byte| byte.is_ascii_uppercase()) {
            self.by_host.get(&name.to_ascii_lowercase())
        } else {
            self.by_host.get(name)
        };
        routes?.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Finds a service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<ForwardService>> {
        self.services.get(name)
    }

    /// Iterates over the services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ForwardService>> {
        self.services.values()
    }
}
