use schemars::JsonSchema;
use serde::Serialize;

/// A peer as this instance sees it.
#[derive(Debug, Serialize, JsonSchema)]
pub struct PeerReport {
    /// Name of the peer instance.
    pub instance: String,
    /// Its failure domain.
    pub domain: String,
    /// Milliseconds since the last frame from the peer.
    pub silent_ms: u64,
}
