use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{DomainId, InstanceId};

/// An instance in the platform's list, which lags behind the actual state.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ListedInstance {
    /// The name of the instance.
    pub id: InstanceId,
    /// The failure domain that the instance runs in.
    pub domain: DomainId,
    /// The address of its peer port.
    pub peer_address: SocketAddr,
    /// Whether the platform is taking the instance out of service.
    #[serde(default)]
    pub is_leaving: bool,
}
