use serde::{Deserialize, Serialize};

use super::RouteRow;

/// The table of all routes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
#[serde(deny_unknown_fields)]
pub struct RouteTable {
    /// The routes, one for each `[[route]]` row; the table check rejects two that match the same
    /// model or path.
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

    /// Finds the plain route whose path is the longest prefix of `path` in whole segments.
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
