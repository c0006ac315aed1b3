use schemars::JsonSchema;
use serde::Serialize;

use super::{PeerReport, UpstreamReport};

/// The state of an instance as the admin server reports it.
#[derive(Debug, Serialize, JsonSchema)]
pub struct NodeReport {
    /// Name of the instance.
    pub instance: String,
    /// Its failure domain.
    pub domain: String,
    /// Random number drawn at the start of the process.
    pub incarnation: u64,
    /// The revision of the tables in force; zero if there are none yet.
    pub revision: u64,
    /// Whether the instance accepts requests.
    pub is_ready: bool,
    /// Whether the instance is shutting down.
    pub is_draining: bool,
    /// Number of caller requests in progress.
    pub in_progress: u64,
    /// All upstreams in the tables.
    pub upstreams: Vec<UpstreamReport>,
    /// The peers that this instance considers live.
    pub peers: Vec<PeerReport>,
}
