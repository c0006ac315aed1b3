use serde::{Deserialize, Serialize};

/// The kind of the upstreams in a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PoolKind {
    /// Inference engines that run a base model and load adapters; requests name a model.
    Model,
    /// Other HTTP services; requests are routed by path.
    Plain,
}
