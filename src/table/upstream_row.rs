use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::UpstreamState;
use crate::id::{DomainId, UpstreamId};

/// An upstream of a pool: a row `[[pool.upstream]]`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamRow {
    /// The name, unique across all pools.
    pub name: UpstreamId,
    /// The failure domain in which the upstream runs.
    pub domain: DomainId,
    /// The address of the HTTP port.
    pub address: SocketAddr,
    /// Whether the upstream accepts new requests.
    #[serde(default)]
    pub state: UpstreamState,
}
