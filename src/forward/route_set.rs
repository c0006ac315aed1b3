use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::{ForwardRoute, ForwardService};
use crate::workspace::WorkspaceTable;

/// One version of the routing configuration, with routes indexed by host.
#[derive(Debug)]
pub struct RouteSet {
    version: u64,
    by_host: BTreeMap<String, Vec<Arc<ForwardRoute>>>,
    services: BTreeMap<String, Arc<ForwardService>>,
    limits: CallerLimits,
    workspaces: Option<WorkspaceTable>,
}

/// Limits for the size of callers' requests and for how slowly they may arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time for a request head, from its first byte.
    pub head_timeout: Duration,
    /// Maximum time that a connection may stay idle between requests.
    pub idle_timeout: Duration,
}

impl RouteSet {
    /// Builds the index of `routes` by host and of `services` by name.
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
            // With the longest prefix first, the first match is the most specific one.
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
            workspaces: None,
        }
    }

    /// Adds the workspaces, so that callers of routes that are not public have to present a key.
    #[must_use]
    pub fn with_workspaces(mut self, table: WorkspaceTable) -> Self {
        self.workspaces = Some(table);
        self
    }

    /// Returns the workspaces, or `None` if callers need no key.
    #[must_use]
    pub const fn workspaces(&self) -> Option<&WorkspaceTable> {
        self.workspaces.as_ref()
    }

    /// Returns the version of the configuration; later configurations have higher versions.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits for callers' requests.
    #[must_use]
    pub const fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    ///
    /// The case of `host` and a port in it are ignored.
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

    /// Returns the service with the given name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<ForwardService>> {
        self.services.get(name)
    }

    /// Returns an iterator over the services in the order of their names.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ForwardService>> {
        self.services.values()
    }
}
