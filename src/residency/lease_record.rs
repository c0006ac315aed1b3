use crate::id::{DomainId, InstanceId};

/// The stored record of which instance owns a failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseRecord {
    /// The failure domain that is owned; also the name of the stored object.
    pub domain: DomainId,
    /// The instance that may send orders to the upstreams of the domain.
    pub holder: InstanceId,
    /// Incremented with each takeover; the fencing token of the holder's orders.
    pub epoch: u64,
    /// Incremented with each renewal, starting at zero after a takeover.
    pub renewals: u64,
    /// The era of the store in which the record was written; zero if the store states none.
    pub era: u64,
}
