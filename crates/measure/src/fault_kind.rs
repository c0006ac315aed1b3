/// A disturbance during a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FaultKind {
    /// The adapters exchange their popularity: what was idle becomes popular and the reverse.
    PopularityShift,
    /// A third of the engines restart and lose their adapters and running requests.
    RestartThird,
    /// The weight store runs at this fraction of its speed.
    StoreSpeed(f64),
    /// The first failure domain loses contact with the others.
    DomainCut,
    /// The first failure domain regains contact.
    DomainHealed,
    /// One batch request for every adapter arrives at once.
    Sweep,
}
