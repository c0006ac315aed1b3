use std::time::Duration;

use crate::id::{DomainId, InstanceId};

/// A peer that has joined and that the mesh has not declared dead.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LivePeer {
    /// Instance id of the peer.
    pub id: InstanceId,
    /// Failure domain of the peer.
    pub domain: DomainId,
    /// Random number that identifies the running process of the peer.
    pub incarnation: u64,
    /// Time since the last frame was received from the peer.
    pub silent_for: Duration,
    /// Whether the peer is shutting down.
    pub is_draining: bool,
    /// Whether there is a working link to the peer.
    pub is_linked: bool,
}
