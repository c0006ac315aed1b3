use std::collections::BTreeMap;

/// What an instance tells its peers about requests that crashed upstreams.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SuspectReport {
    /// The crashes by fingerprint that the instance observed itself.
    pub counts: BTreeMap<u64, u32>,
    /// The fingerprints that the counts of all instances refuse, in order. A restarted instance has
    /// lost its own counts and learns from these what it has to refuse.
    pub refused: Vec<u64>,
}

impl SuspectReport {
    /// Returns whether there is nothing to tell.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty() && self.refused.is_empty()
    }
}
