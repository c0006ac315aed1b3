use serde::{Deserialize, Serialize};

/// The number of calls that the platform received; a waiting watch counts once.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounters {
    /// Reads of one object.
    pub reads: u64,
    /// Writes, including those that met a conflict.
    pub writes: u64,
    /// Lists of objects.
    pub lists: u64,
    /// Watches.
    pub watches: u64,
    /// Reads of the list of instances.
    pub instance_reads: u64,
    /// Writes that met another version.
    pub conflicts: u64,
    /// Watches that wait at present.
    pub waiting_watches: u64,
}

impl PlatformCounters {
    /// Adds up all calls.
    #[must_use]
    pub const fn calls(&self) -> u64 {
        self.reads + self.writes + self.lists + self.watches + self.instance_reads
    }
}
