use serde::Deserialize;

use crate::id::{DomainId, InstanceId};

/// Section `[instance]`: who the process is and where it stands.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct InstanceSettings {
    /// The name, unique in the fleet; required.
    pub name: InstanceId,
    /// The failure domain; required.
    pub domain: DomainId,
    /// The region of the failure domain, for logs and metrics.
    pub region: String,
}

impl Default for InstanceSettings {
    fn default() -> Self {
        Self {
            name: InstanceId::from_name(""),
            domain: DomainId::from_name(""),
            region: String::new(),
        }
    }
}
