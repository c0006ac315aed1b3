use crate::FaultKind;

/// Something that happens at a point of virtual time.
#[derive(Debug, Clone, Copy)]
pub(crate) enum FleetEvent {
    /// A request arrives at an entry.
    Arrive { request: usize },
    /// A request reaches the owner of a worker.
    Offer { request: usize },
    /// An engine finishes the dispatch of a request.
    Finish { request: usize, attempt: u32 },
    /// A load ends.
    LoadEnd {
        worker: usize,
        adapter: usize,
        incarnation: u32,
    },
    /// An eviction ends.
    EvictEnd {
        worker: usize,
        adapter: usize,
        incarnation: u32,
    },
    /// A permit holder looks at its bids.
    Wake { holder: usize },
    /// A permit reaches an owner.
    Grant {
        holder: usize,
        permit: u64,
        worker: usize,
        adapter: usize,
    },
    /// An owner's permit lapses if it is still unused.
    Lapse {
        worker: usize,
        adapter: usize,
        permit: u64,
    },
    /// Schedulers tick.
    Tick,
    /// An owner's heartbeat reaches the entries.
    View { worker: usize },
    /// A fault starts or ends.
    Fault(FaultKind),
}
