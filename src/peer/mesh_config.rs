use std::net::SocketAddr;
use std::time::Duration;

use super::{LinkLimits, SharedSecret};
use crate::id::{DomainId, InstanceId};

/// The settings of a [`PeerMesh`](super::PeerMesh).
///
/// Intervals and timeouts must be the same on all instances: a peer with a shorter link timeout than
/// this instance's would drop links on which nothing is due yet.
#[derive(Debug, Clone)]
pub struct MeshConfig {
    /// This instance.
    pub instance: InstanceId,
    /// Random number drawn at the start of this process.
    pub incarnation: u64,
    /// The failure domain of this instance.
    pub domain: DomainId,
    /// The address to listen at; port zero takes a free one.
    pub listen: SocketAddr,
    /// Time between heartbeats.
    pub heartbeat_interval: Duration,
    /// Silence after which a link is dropped and dialled again.
    pub link_timeout: Duration,
    /// Silence on all links after which a peer counts as dead.
    pub peer_timeout: Duration,
    /// Time allowed for the reply to a question.
    pub request_timeout: Duration,
    /// The secret that every peer must know; none turns the check off.
    pub secret: Option<SharedSecret>,
    /// The most peers that are known at a time, which bounds the memory that strangers can take.
    pub max_peers: usize,
    /// Limits of each link.
    pub limits: LinkLimits,
    /// Links up to which each heartbeat tells the load of the owned upstreams; with `n` times as many
    /// links, every `n`th heartbeat does, which bounds the traffic of an instance.
    pub full_rate_links: usize,
    /// The most peers to which links are kept; none means all. Peers of the own failure domain come
    /// first and should all be included, since ownership rests on the links among them. Others are
    /// dialled when a call or question goes to them.
    pub max_persistent_links: Option<usize>,
}

impl MeshConfig {
    /// Creates settings with the default times and limits and without a secret.
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
        }
    }

    /// Returns every how many heartbeats a link shows that it works if it has no content to send.
    ///
    /// Twice per link timeout, so that one delayed heartbeat does not end a link.
    pub(super) fn heartbeats_per_keepalive(&self) -> u32 {
        let beats = (self.link_timeout / 2).as_nanos() / self.heartbeat_interval.as_nanos().max(1);
        u32::try_from(beats).unwrap_or(u32::MAX).max(1)
    }

    /// Returns the time allowed for connecting and for the handshake.
    ///
    /// Two attempts fit between the loss of a silent link and the declaration of death.
    pub(super) fn dial_timeout(&self) -> Duration {
        (self.peer_timeout.saturating_sub(self.link_timeout) / 2).max(Duration::from_millis(100))
    }
}
