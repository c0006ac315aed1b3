use crate::id::{DomainId, InstanceId};

/// Who is at the other end of a link.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerIdentity {
    /// The instance.
    pub instance: InstanceId,
    /// The process; another number means that the process was replaced.
    pub incarnation: u64,
    /// The failure domain.
    pub domain: DomainId,
}
