use serde::Deserialize;

use crate::id::{DomainId, InstanceId};

/// Section `[instance]`: the identity and the location of the process.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct InstanceSettings {
    /// The name of the instance, unique in the fleet; required.
    pub name: InstanceId,
    /// The failure domain in which the instance runs; required.
    pub domain: DomainId,
    /// The region of the failure domain. Descriptive only: the node does not use it.
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
