/// Figures of a [`ClaimStore`](super::ClaimStore) since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClaimCounts {
    /// Reads of the object store.
    pub reads: u64,
    /// Conditional writes to the object store.
    pub writes: u64,
    /// Writes that met a newer version.
    pub conflicts: u64,
    /// Calls of the object store that failed.
    pub failures: u64,
    /// Claims granted.
    pub granted: u64,
    /// Changes refused because the object store did not answer or the object was full.
    pub refused: u64,
}
