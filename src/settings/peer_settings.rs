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
    /// The address to listen on, to which peers connect; required.
    pub address: SocketAddr,
    /// Instances to connect to in addition to those in the platform's instance list, so that peers
    /// are reachable while the list is unavailable.
    #[serde_as(as = "Vec<DisplayFromStr>")]
    pub seeds: Vec<SeedPeer>,
    /// Time between two heartbeats on a link.
    #[serde_as(as = "DurationText")]
    pub heartbeat_interval: Duration,
    /// Time without a message after which a link is closed and the connection opened again.
    #[serde_as(as = "DurationText")]
    pub link_timeout: Duration,
    /// Time without a message after which a peer is considered dead and its upstreams are taken
    /// over. After its start or a pause, an instance waits for this time before it owns upstreams;
    /// after its start only until it has links to all peers.
    #[serde_as(as = "DurationText")]
    pub peer_timeout: Duration,
    /// Duration of the lease that an instance renews while it runs. After a pause of at least this
    /// length, the instance gives up its upstreams and sends no orders until it has updated its
    /// view of the peers.
    ///
    /// The permit holder uses the same duration: it resets its grants after a longer pause, and a
    /// new holder assumes that its predecessor may have granted permits for up to 1.25 times the
    /// lease after the change.
    #[serde_as(as = "DurationText")]
    pub lease: Duration,
    /// The secret that all instances of the fleet share.
    pub secret: Option<SecretText>,
    /// A file with the shared secret, whose content is stored in `secret` when the settings are
    /// loaded; only one of both may be set.
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
