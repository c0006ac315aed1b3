use std::net::SocketAddr;
use std::time::Duration;

use super::{LinkLimits, SharedSecret};
use crate::id::{DomainId, InstanceId};

/// The settings of a [`PeerMesh`](super::PeerMesh).
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
    pub ask_timeout: Duration,
    /// The secret that every peer must know; none turns the check off.
    pub secret: Option<SharedSecret>,
    /// Limits of each link.
    pub limits: LinkLimits,
    /// The most peers to which links are kept; none means all. Peers of the own failure domain come
    /// first. Others are dialled when a call or question goes to them.
    pub max_links: Option<usize>,
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
            ask_timeout: Duration::from_secs(2),
            secret: None,
            limits: LinkLimits::default(),
            max_links: None,
        }
    }

    /// Returns the time allowed for connecting and for the handshake.
    ///
    /// Two attempts fit between the loss of a silent link and the declaration of death.
    pub(super) fn dial_timeout(&self) -> Duration {
        (self.peer_timeout.saturating_sub(self.link_timeout) / 2).max(Duration::from_millis(100))
    }
}
