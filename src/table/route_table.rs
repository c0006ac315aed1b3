use serde::{Deserialize, Serialize};

use super::RouteRow;

/// The routes, in the order in which they are matched.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
#[serde(deny_unknown_fields)]
pub struct RouteTable {
    /// The routes.
    #[serde(default, rename = "route")]
    pub routes: Vec<RouteRow>,
}

impl RouteTable {
    /// Finds the route of a base model.
    #[must_use]
    pub fn model_route(&self, model: &str) -> Option<&RouteRow> {
        self.routes
            .iter()
            .find(|route| route.model.as_deref() == Some(model))
    }

    /// Finds the plain route with the longest prefix of whole segments of `path`.
    #[must_use]
    pub fn plain_route(&self, path: &str) -> Option<&RouteRow> {
        let is_prefix = |prefix: &str| {
            path.strip_prefix(prefix).is_some_and(|rest| {
                rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/')
            })
        };
        self.routes
            .iter()
            .filter(|route| route.path.as_deref().is_some_and(is_prefix))
            .max_by_key(|route| route.path.as_deref().map_or(0, str::len))
    }
}
