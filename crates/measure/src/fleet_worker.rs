use std::collections::BTreeMap;

use comfreychute::policy::UpstreamScheduler;

/// An engine, its owner's scheduler and the permits that the owner holds.
#[derive(Debug)]
pub(crate) struct FleetWorker {
    pub(crate) scheduler: UpstreamScheduler,
    pub(crate) domain: usize,
    /// Changes at a restart, so that the ends of lost loads are recognised.
    pub(crate) incarnation: u32,
    /// Permits by adapter, with the holder that granted them.
    pub(crate) permits: BTreeMap<usize, (usize, u64)>,
    /// Loads in progress by adapter.
    pub(crate) loads: BTreeMap<usize, (usize, u64)>,
}
