use std::net::SocketAddr;

use crate::id::{DomainId, UpstreamId};

/// An upstream as listed by the platform.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamEntry {
    /// The id of the upstream; it usually changes when the upstream restarts.
    pub id: UpstreamId,
    /// The name of the service that it belongs to.
    pub service: String,
    /// The address at which it accepts requests.
    pub address: SocketAddr,
    /// The failure domain in which it runs.
    pub domain: DomainId,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is draining and accepts no new requests.
    pub is_draining: bool,
    /// The start time that the upstream reports; a change under the same id reveals a restart.
    pub incarnation: u64,
}
