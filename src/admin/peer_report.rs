use schemars::JsonSchema;
use serde::Serialize;

/// A peer as this instance sees it.
#[derive(Debug, Serialize, JsonSchema)]
pub struct PeerReport {
    /// The instance.
    pub instance: String,
    /// Its failure domain.
    pub domain: String,
    /// Milliseconds since it was heard from.
    pub silent_ms: u64,
}
