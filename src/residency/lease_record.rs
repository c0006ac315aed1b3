use crate::id::{DomainId, InstanceId};

/// The ownership of a failure domain, as the store keeps it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseRecord {
    /// The failure domain.
    pub domain: DomainId,
    /// The instance that may order.
    pub holder: InstanceId,
    /// Rises with each takeover; the fencing token of the holder's orders.
    pub epoch: u64,
    /// Rises with each renewal.
    pub renewals: u64,
}
