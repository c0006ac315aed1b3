use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

use super::AdapterRule;
use crate::error::{Error, ErrorKind};
use crate::id::{AdapterRef, RequestRank};
use crate::unit::{DurationText, SizeText};

/// Maps matching requests to a pool.
///
/// A model route matches requests by base model, which is the part of their `model` field before
/// the slash; a plain route matches a path prefix.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteRow {
    /// The name, unique in the route table.
    pub name: String,
    /// The pool that serves the route.
    pub pool: String,
    /// The base model that requests name; model routes only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// The path prefix, starting with `/`; plain routes only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub path: Option<String>,
    /// The adapters that requests may name; the first matching rule gives the default version.
    #[serde_as(as = "Vec<DisplayFromStr>")]
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub adapters: Vec<AdapterRule>,
    /// The rank of requests that do not state one.
    #[serde(default = "default_rank")]
    pub rank: RequestRank,
    /// Whether a request may run more than once; if not, callers must send an idempotency key. Must
    /// be true for model routes.
    #[serde(default = "default_repeatable")]
    pub repeatable: bool,
    /// The time limit of requests that do not state a deadline.
    #[serde_as(as = "DurationText")]
    #[serde(default = "default_timeout")]
    pub timeout: Duration,
    /// The largest accepted request body, in bytes.
    #[serde_as(as = "SizeText")]
    #[serde(default = "default_max_body")]
    pub max_body: u64,
}

impl RouteRow {
    /// Resolves a requested adapter, adding the default version if the request names none.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::NotFound`] if the route does not accept the adapter or the version, and
    /// [`ErrorKind::BadRequest`] if the name is malformed.
    pub fn resolve(&self, adapter: &str) -> Result<AdapterRef, Error> {
        let (name, version) = adapter
            .split_once('@')
            .map_or((adapter, None), |(name, version)| (name, Some(version)));
        let rule = self.adapters.iter().find(|rule| {
            rule.is_match(name) && version.is_none_or(|version| version == rule.version())
        });
        let Some(rule) = rule else {
            return Err(Error::new(
                ErrorKind::NotFound,
                format!("adapter {adapter:?} in route {:?}", self.name),
            ));
        };
        AdapterRef::new(name, rule.version())
    }
}

const fn default_rank() -> RequestRank {
    RequestRank::Standard
}

const fn default_repeatable() -> bool {
    true
}

const fn default_timeout() -> Duration {
    Duration::from_mins(1)
}

const fn default_max_body() -> u64 {
    1 << 20
}
