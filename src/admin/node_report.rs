use schemars::JsonSchema;
use serde::Serialize;

use super::{PeerReport, UpstreamReport};

/// The state of an instance for operators.
#[derive(Debug, Serialize, JsonSchema)]
pub struct NodeReport {
    /// The instance.
    pub instance: String,
    /// Its failure domain.
    pub domain: String,
    /// Random number drawn at the start of the process.
    pub incarnation: u64,
    /// The revision of the tables in force; zero if there are none yet.
    pub revision: u64,
    /// Whether the instance takes requests.
    pub is_ready: bool,
    /// Whether the instance is shutting down.
    pub is_draining: bool,
    /// Requests of callers in progress.
    pub in_progress: u64,
    /// All upstreams of the tables.
    pub upstreams: Vec<UpstreamReport>,
    /// The live peers.
    pub peers: Vec<PeerReport>,
}
