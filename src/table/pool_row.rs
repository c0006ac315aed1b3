use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use super::{FencingMode, PoolKind, UpstreamRow};
use crate::id::RequestRank;
use crate::unit::DurationText;

/// A set of upstreams that do the same work, with the settings of their policy.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolRow {
    /// The name that routes refer to.
    pub name: String,
    /// What the upstreams are.
    pub kind: PoolKind,
    /// The base model that the engines run; model pools only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// The weight store that the engines load from; model pools only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub store: Option<String>,
    /// Adapter slots per engine.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Requests that one upstream runs side by side (the batch size of an engine).
    #[serde(default = "default_max_running")]
    pub max_running: u32,
    /// Whether the engines check fencing tokens.
    #[serde(default = "default_fencing")]
    pub fencing: FencingMode,
    /// Share of capacity that each rank keeps in a flood, from 0 to 1; the sum is at most 1.
    #[serde(default)]
    pub floors: BTreeMap<RequestRank, f64>,
    /// Weight of load stalls and urgent service against batch efficiency, from 0 to 1.
    #[serde(default = "default_stall_weight")]
    pub stall_weight: f64,
    /// Silence of a former owner after which its adapters may be used and evicted, although it was
    /// not seen to have ended; off if unset.
    ///
    /// A former owner that is paused for longer, between its last check and its order, may then
    /// evict an adapter in use or lose one under its request.
    #[serde_as(as = "Option<DurationText>")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub frozen_owner_limit: Option<Duration>,
    /// The upstreams.
    #[serde(default, rename = "upstream")]
    pub upstreams: Vec<UpstreamRow>,
}

const fn default_slots() -> u32 {
    8
}

const fn default_max_running() -> u32 {
    16
}

const fn default_fencing() -> FencingMode {
    FencingMode::Ignored
}

const fn default_stall_weight() -> f64 {
    0.5
}
