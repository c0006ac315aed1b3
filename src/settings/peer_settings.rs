use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use serde::Deserialize;
use serde_with::{DisplayFromStr, serde_as};

use super::{SecretText, SeedPeer};
use crate::unit::DurationText;

/// Section `[peer]`: the links to other instances.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PeerSettings {
    /// The address to listen on, which is also the one that peers dial; required.
    pub address: SocketAddr,
    /// Instances to dial while the platform is unavailable.
    #[serde_as(as = "Vec<DisplayFromStr>")]
    pub seeds: Vec<SeedPeer>,
    /// Time between two heartbeats on a link.
    #[serde_as(as = "DurationText")]
    pub heartbeat_interval: Duration,
    /// Silence after which a link is closed and dialled again.
    #[serde_as(as = "DurationText")]
    pub link_timeout: Duration,
    /// Silence after which a peer counts as dead and its upstreams are taken over.
    #[serde_as(as = "DurationText")]
    pub peer_timeout: Duration,
    /// Time without contact after which an owner checks its ownership before it gives an order.
    #[serde_as(as = "DurationText")]
    pub lease: Duration,
    /// The secret that all instances of the fleet share.
    pub secret: Option<SecretText>,
    /// A file with the shared secret; loading the settings puts its content into `secret`.
    pub secret_file: Option<PathBuf>,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            seeds: Vec::new(),
            heartbeat_interval: Duration::from_millis(500),
            link_timeout: Duration::from_secs(2),
            peer_timeout: Duration::from_secs(3),
            lease: Duration::from_secs(3),
            secret: None,
            secret_file: None,
        }
    }
}
