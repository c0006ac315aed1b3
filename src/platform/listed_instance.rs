use std::net::SocketAddr;

use crate::id::{DomainId, InstanceId};

/// One row of the platform's instance list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedInstance {
    /// The instance.
    pub id: InstanceId,
    /// The failure domain that it stands in.
    pub domain: DomainId,
    /// The address of its peer port.
    pub peer_address: SocketAddr,
    /// Whether the platform is about to stop it.
    pub is_leaving: bool,
}
