use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The state that a node reports at its admin port.
///
/// Unknown keys are ignored, so that the states of newer nodes can be read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeState {
    /// Name of the instance.
    pub instance: String,
    /// Its failure domain.
    pub domain: String,
    /// Random number drawn at the start of the process.
    pub incarnation: u64,
    /// The revision of the tables in force; zero if there are none yet.
    pub revision: u64,
    /// Whether the node accepts requests.
    pub is_ready: bool,
    /// Whether the node is shutting down.
    pub is_draining: bool,
    /// All upstreams in the tables.
    #[serde(default)]
    pub upstreams: Vec<UpstreamLoad>,
    /// The peers that the node considers live.
    #[serde(default)]
    pub peers: Vec<PeerState>,
}

/// An upstream as a node sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// Name of the upstream.
    pub name: String,
    /// Name of the pool.
    pub pool: String,
    /// The instance that owns the upstream, if any.
    #[serde(default)]
    pub owner: Option<String>,
    /// The epoch of the ownership, in hexadecimal.
    #[serde(default)]
    pub epoch: String,
    /// Whether the owner reports that the upstream answers.
    pub is_healthy: bool,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests, by rank.
    #[serde(default)]
    pub queued: BTreeMap<String, u32>,
    /// Resident adapters as `name@version`.
    #[serde(default)]
    pub resident: Vec<String>,
}

/// A peer as a node sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerState {
    /// Name of the peer instance.
    pub instance: String,
    /// Its failure domain.
    pub domain: String,
    /// Milliseconds since the last frame from the peer.
    pub silent_ms: u64,
}
