use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{DomainId, InstanceId};

/// An instance as the platform lists it; the list lags.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ListedInstance {
    /// The instance.
    pub id: InstanceId,
    /// The failure domain that it stands in.
    pub domain: DomainId,
    /// The address of its peer port.
    pub peer_address: SocketAddr,
    /// Whether the platform is taking it out of service.
    #[serde(default)]
    pub is_leaving: bool,
}
