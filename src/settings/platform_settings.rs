use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde_with::serde_as;

use crate::unit::DurationText;

/// Section `[platform]`: the object store and the instance list.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformSettings {
    /// The address of the platform's API; required.
    pub address: SocketAddr,
    /// Time after which a call to the platform counts as failed.
    #[serde_as(as = "DurationText")]
    pub timeout: Duration,
    /// Instances per failure domain that hold a watch on the tables and relay changes.
    pub watch_relays: u32,
    /// Time between two reads of the instance list.
    #[serde_as(as = "DurationText")]
    pub list_interval: Duration,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            timeout: Duration::from_secs(2),
            watch_relays: 2,
            list_interval: Duration::from_secs(5),
        }
    }
}
