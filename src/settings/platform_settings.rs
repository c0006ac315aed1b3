use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde_with::serde_as;

use crate::unit::DurationText;

/// Section `[platform]`: access to the object store and the instance list.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformSettings {
    /// The address of the platform's API; required.
    pub address: SocketAddr,
    /// Time limit of a call to the platform.
    #[serde_as(as = "DurationText")]
    pub timeout: Duration,
    /// Number of instances per failure domain that watch the tables and relay changes to the other
    /// instances.
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
