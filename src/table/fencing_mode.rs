use serde::{Deserialize, Serialize};

/// Says whether the engines of a pool reject orders with an old fencing token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum FencingMode {
    /// The engines reject an order whose token is older than one they have seen.
    Checked,
    /// The engines ignore the token.
    Ignored,
}
