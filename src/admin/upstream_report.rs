use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::Serialize;

/// An upstream as this instance sees it.
#[derive(Debug, Serialize, JsonSchema)]
pub struct UpstreamReport {
    /// The upstream.
    pub name: String,
    /// Its pool.
    pub pool: String,
    /// The instance that owns it; none if its failure domain has no live instance.
    pub owner: Option<String>,
    /// The epoch of the ownership, in hexadecimal.
    pub epoch: String,
    /// Whether its owner says that it answers.
    pub is_healthy: bool,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait, by rank.
    pub queued: BTreeMap<String, u32>,
    /// Resident adapters, `name@version`.
    pub resident: Vec<String>,
}
