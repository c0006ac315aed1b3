use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use super::{FencingMode, PoolKind, UpstreamRow};
use crate::id::RequestRank;
use crate::unit::DurationText;

/// A set of interchangeable upstreams and the scheduling parameters that apply to them.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolRow {
    /// The name that routes refer to.
    pub name: String,
    /// The kind of the upstreams; it decides which of the other keys are allowed.
    pub kind: PoolKind,
    /// The base model that the engines run; model pools only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// The weight store that the engines load from; model pools only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub store: Option<String>,
    /// Number of adapters that one engine holds at the same time (its adapter slots).
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Number of requests that one upstream runs concurrently (the batch size of an engine).
    #[serde(default = "default_max_running")]
    pub max_running: u32,
    /// Whether the engines check fencing tokens. Descriptive only: the node does not read it and
    /// sends the token in either mode.
    #[serde(default = "default_fencing")]
    pub fencing: FencingMode,
    /// Share of `max_running` that is guaranteed to each rank under overload, from 0 to 1; the sum
    /// is at most 1. Ranks without an entry have no guaranteed share.
    #[serde(default)]
    pub floors: BTreeMap<RequestRank, f64>,
    /// Weight of load stalls and urgent requests against batch efficiency, from 0 to 1. It is
    /// checked and passed on to the scheduler, but has no effect: no scheduling decision reads it.
    #[serde(default = "default_stall_weight")]
    pub stall_weight: f64,
    /// Time after which an unresponsive former owner is treated as dead, so that its adapters may
    /// be used and evicted although its process was not observed to end; never if unset.
    ///
    /// A former owner that was only paused may resume after this limit. If the pause fell between
    /// its last ownership check and an order or a request, it still sends that one: the order may
    /// evict an adapter that is in use, and the request may find its adapter evicted.
    #[serde_as(as = "Option<DurationText>")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub frozen_owner_limit: Option<Duration>,
    /// The upstreams, in the order of the `[[pool.upstream]]` rows.
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
