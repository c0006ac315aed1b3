/// The claim of a lease holder that its gossip messages carry to the other instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseClaim {
    /// The epoch of the lease.
    pub epoch: u64,
    /// The revision of the lease record as last written by the holder; zero if it is not known.
    pub revision: u64,
    /// Whether the holder knows that the receiving instance has not taken over since the epoch began,
    /// which a restarted instance can't know itself; see
    /// [`DomainLease::vouches_for`](super::DomainLease::vouches_for).
    pub is_vouched: bool,
}
