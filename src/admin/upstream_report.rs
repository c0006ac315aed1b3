use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::Serialize;

/// An upstream as this instance sees it.
#[derive(Debug, Serialize, JsonSchema)]
pub struct UpstreamReport {
    /// Name of the upstream.
    pub name: String,
    /// Name of the pool.
    pub pool: String,
    /// The instance that owns the upstream; `None` if its failure domain has no live instance.
    pub owner: Option<String>,
    /// The epoch of the ownership, in hexadecimal.
    pub epoch: String,
    /// Whether the owner reports that the upstream answers.
    pub is_healthy: bool,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests, by rank.
    pub queued: BTreeMap<String, u32>,
    /// Resident adapters as `name@version`.
    pub resident: Vec<String>,
}
