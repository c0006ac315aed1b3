use crate::id::{DomainId, InstanceId};

/// Identity of the process at the other end of a link.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerIdentity {
    /// Instance id of the peer.
    pub instance: InstanceId,
    /// Random number drawn at the start of the process; a new value means that it was replaced.
    pub incarnation: u64,
    /// Failure domain of the peer.
    pub domain: DomainId,
}
