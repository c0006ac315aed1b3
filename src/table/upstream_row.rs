use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::UpstreamState;
use crate::id::{DomainId, UpstreamId};

/// One upstream of a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamRow {
    /// The name, unique across all pools.
    pub name: UpstreamId,
    /// The failure domain that the upstream stands in.
    pub domain: DomainId,
    /// The address of its HTTP port.
    pub address: SocketAddr,
    /// Whether it takes new work.
    #[serde(default)]
    pub state: UpstreamState,
}
