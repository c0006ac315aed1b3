use std::net::SocketAddr;
use std::time::Duration;

use super::{LinkLimits, SharedSecret};
use crate::id::{DomainId, InstanceId};

/// Configuration of a [`PeerMesh`](super::PeerMesh).
///
/// Intervals and timeouts must be the same on all instances: a peer with a shorter link timeout
/// than this instance's would close links on which no frame is due yet.
#[derive(Debug, Clone)]
pub struct MeshConfig {
    /// Instance id of this process; peers reject a link from an instance with their own id.
    pub instance: InstanceId,
    /// Random number drawn at the start of this process; peers detect a restart by it.
    pub incarnation: u64,
    /// Failure domain of this instance.
    pub domain: DomainId,
    /// Address to listen on; port zero selects a free port.
    pub listen: SocketAddr,
    /// Interval between heartbeats.
    pub heartbeat_interval: Duration,
    /// Time without a frame after which a link is closed and dialled again.
    pub link_timeout: Duration,
    /// Time without a frame on any link after which a peer is declared dead.
    pub peer_timeout: Duration,
    /// Time limit for the reply to a [`PeerRequest`](super::PeerRequest).
    pub request_timeout: Duration,
    /// Secret that every peer must prove; `None` disables the check.
    pub secret: Option<SharedSecret>,
    /// Maximum number of known peers; bounds the memory that unauthenticated connections can use.
    pub max_peers: usize,
    /// Limits of each link.
    pub limits: LinkLimits,
    /// Number of linked peers up to which each heartbeat includes the load of the owned upstreams.
    /// With `n` times as many peers, only every `n`th heartbeat does, which bounds the traffic of
    /// an instance.
    pub full_rate_links: usize,
    /// Maximum number of peers to which persistent links are kept; `None` means all. Peers of the
    /// same failure domain take precedence and should all be included, because ownership relies on
    /// the links among them. Other peers are dialled on demand, when a call or request is sent to
    /// them.
    pub max_persistent_links: Option<usize>,
    /// Time without a link after which this instance dials a peer with a lower id itself. Until then
    /// it relies on the link that the peer opens, so that two instances keep one link and not two.
    /// `None` means that it dials all peers at once.
    pub dial_grace: Option<Duration>,
    /// Factor by which heartbeats are rarer, and the link timeout longer, on links that carry
    /// nothing else. It must be the same on all instances; one treats all links alike.
    pub idle_factor: u32,
}

impl MeshConfig {
    /// Creates a configuration with the default timeouts and limits and without a secret.
    #[must_use]
    pub fn new(
        instance: InstanceId,
        incarnation: u64,
        domain: DomainId,
        listen: SocketAddr,
    ) -> Self {
        Self {
            instance,
            incarnation,
            domain,
            listen,
            heartbeat_interval: Duration::from_millis(500),
            link_timeout: Duration::from_secs(2),
            peer_timeout: Duration::from_secs(3),
            request_timeout: Duration::from_secs(2),
            secret: None,
            max_peers: 8192,
            limits: LinkLimits::default(),
            full_rate_links: 16,
            max_persistent_links: None,
            dial_grace: None,
            idle_factor: 1,
        }
    }

    /// Returns the number of heartbeat intervals between keep-alives on a link without content.
    ///
    /// Two keep-alives are sent per link timeout, so that one delayed frame does not end a link.
    pub(super) fn heartbeats_per_keepalive(&self) -> u32 {
        let heartbeats =
            (self.link_timeout / 2).as_nanos() / self.heartbeat_interval.as_nanos().max(1);
        u32::try_from(heartbeats).unwrap_or(u32::MAX).max(1)
    }

    /// Returns the time limit for connecting and for the handshake.
    ///
    /// Two attempts fit between the loss of a silent link and the time at which the peer is
    /// declared dead.
    pub(super) fn dial_timeout(&self) -> Duration {
        (self.peer_timeout.saturating_sub(self.link_timeout) / 2).max(Duration::from_millis(100))
    }
}
