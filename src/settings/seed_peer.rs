use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use crate::id::{DomainId, InstanceId};

/// An instance that a node connects to even if the platform's instance list is unavailable.
///
/// The text form is `name/domain/address`, such as `node-2/harbour/10.0.2.1:7100`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeedPeer {
    /// The name of the instance.
    pub name: InstanceId,
    /// The failure domain of the instance.
    pub domain: DomainId,
    /// The address of the peer port.
    pub address: SocketAddr,
}

impl fmt::Display for SeedPeer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.name, self.domain, self.address)
    }
}

impl FromStr for SeedPeer {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let parts: Vec<&str> = text.split('/').collect();
        if let [name, domain, address] = parts[..]
            && !name.is_empty()
            && !domain.is_empty()
            && let Ok(address) = address.parse()
        {
            return Ok(Self {
                name: InstanceId::from_name(name),
                domain: DomainId::from_name(domain),
                address,
            });
        }
        Err(format!(
            "seed {text:?}: write name/domain/address, such as node-2/harbour/10.0.2.1:7100"
        ))
    }
}
