use serde::{Deserialize, Serialize};

/// Whether the engines of a pool reject orders that carry an outdated fencing token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum FencingMode {
    /// The engines reject an order whose token is older than the newest token received.
    Checked,
    /// The engines ignore the token.
    Ignored,
}
