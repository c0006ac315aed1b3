use std::time::Duration;

use crate::id::{DomainId, InstanceId};

/// A peer that the mesh has not declared dead.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LivePeer {
    /// The instance.
    pub id: InstanceId,
    /// The failure domain.
    pub domain: DomainId,
    /// The process.
    pub incarnation: u64,
    /// Time since a frame came from it.
    pub silent_for: Duration,
    /// Whether it is shutting down.
    pub is_draining: bool,
    /// Whether a link to it works.
    pub is_linked: bool,
}
