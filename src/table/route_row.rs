use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

use super::AdapterRule;
use crate::error::{Error, ErrorKind};
use crate::id::{AdapterRef, RequestRank};
use crate::unit::{DurationText, SizeText};

/// Says which work goes to which pool.
///
/// A model route matches the part of `model` before the slash; a plain route matches a path prefix.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteRow {
    /// The name, unique in the table.
    pub name: String,
    /// The pool that serves the route.
    pub pool: String,
    /// The base model that requests name; model routes only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// The path prefix, starting with `/`; plain routes only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub path: Option<String>,
    /// The adapters that may be asked for; the first rule that matches gives the default version.
    #[serde_as(as = "Vec<DisplayFromStr>")]
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub adapters: Vec<AdapterRule>,
    /// The rank of requests that name none.
    #[serde(default = "default_rank")]
    pub rank: RequestRank,
    /// Whether a call may be sent to an upstream a second time.
    #[serde(default = "default_repeatable")]
    pub repeatable: bool,
    /// The time allowed for a request that states no deadline.
    #[serde_as(as = "DurationText")]
    #[serde(default = "default_timeout")]
    pub timeout: Duration,
    /// The largest body that is accepted, in bytes.
    #[serde_as(as = "SizeText")]
    #[serde(default = "default_max_body")]
    pub max_body: u64,
}

impl RouteRow {
    /// Resolves a requested adapter, filling in the default version.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::NotFound`] if the route has no such adapter or not in that version, and
    /// [`ErrorKind::BadRequest`] if the name has an invalid form.
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
