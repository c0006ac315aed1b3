/// Counters of a [`ClaimStore`](super::ClaimStore) since its creation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClaimCounts {
    /// Reads from the object store.
    pub reads: u64,
    /// Conditional writes to the object store.
    pub writes: u64,
    /// Writes that failed because the object had another version.
    pub conflicts: u64,
    /// Reads and writes that failed, including reads in which a known object was missing.
    pub failures: u64,
    /// Granted claims.
    pub granted: u64,
    /// Changes that were answered with an error, such as after an outage of the object store or
    /// because the object or the queue was full.
    pub refused: u64,
}
