use serde::Serialize;

use super::PhaseFigures;

/// The figures of one fleet size.
#[derive(Debug, Clone, Serialize)]
pub struct CapacityFigures {
    /// Number of nodes.
    pub nodes: u32,
    /// Number of engines.
    pub engines: u32,
    /// Build profile: `release` or `debug`.
    pub profile: &'static str,
    /// Resident memory per node in bytes, above that of the stand-ins alone.
    pub resident_bytes_per_node: u64,
    /// The phase without changes.
    pub idle: PhaseFigures,
    /// The phase with changes of the tables.
    pub changing: PhaseFigures,
    /// Milliseconds from the start of each edit until all nodes had it in force, in order of size.
    pub change_ms: Vec<u128>,
}
