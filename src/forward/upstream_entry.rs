use std::net::SocketAddr;

use crate::id::{DomainId, UpstreamId};

/// An upstream as the platform lists it.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamEntry {
    /// The upstream; a new start mostly brings a new id.
    pub id: UpstreamId,
    /// The service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The failure domain that it stands in.
    pub domain: DomainId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new requests.
    pub is_draining: bool,
    /// The time of its start, as it states it; tells a restart under the same id.
    pub incarnation: u64,
}
