use serde::{Deserialize, Serialize};

/// Whether an upstream accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamState {
    /// Accepts new requests.
    #[default]
    Active,
    /// Completes its current requests and gets no new ones.
    Draining,
}
