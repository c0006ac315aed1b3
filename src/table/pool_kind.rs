use serde::{Deserialize, Serialize};

/// The kind of upstream in a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PoolKind {
    /// Model engines that load adapters.
    Model,
    /// Services that are called by path.
    Plain,
}
