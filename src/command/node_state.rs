use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The state that a node reports at its admin port; keys that this version does not know are
/// ignored, so that it reads newer nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeState {
    /// The instance.
    pub instance: String,
    /// Its failure domain.
    pub domain: String,
    /// Random number drawn at the start of the process.
    pub incarnation: u64,
    /// The revision of the tables in force.
    pub revision: u64,
    /// Whether it takes requests.
    pub is_ready: bool,
    /// Whether it is shutting down.
    pub is_draining: bool,
    /// The upstreams of the tables.
    #[serde(default)]
    pub upstreams: Vec<UpstreamLoad>,
    /// The live peers.
    #[serde(default)]
    pub peers: Vec<PeerState>,
}

/// An upstream as a node sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// The name.
    pub name: String,
    /// The pool.
    pub pool: String,
    /// The owner, if it has one.
    #[serde(default)]
    pub owner: Option<String>,
    /// The epoch of the ownership, in hexadecimal.
    #[serde(default)]
    pub epoch: String,
    /// Whether it answers.
    pub is_healthy: bool,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait, by rank.
    #[serde(default)]
    pub queued: BTreeMap<String, u32>,
    /// Resident adapters.
    #[serde(default)]
    pub resident: Vec<String>,
}

/// A peer as a node sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerState {
    /// The instance.
    pub instance: String,
    /// Its failure domain.
    pub domain: String,
    /// Milliseconds since it was heard from.
    pub silent_ms: u64,
}
