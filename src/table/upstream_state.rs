use serde::{Deserialize, Serialize};

/// Whether an upstream takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamState {
    /// Takes new work.
    #[default]
    Active,
    /// Finishes what it has and takes no new work.
    Draining,
}
