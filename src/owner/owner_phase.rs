/// The stage of an ownership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerPhase {
    /// The owner reads the state of the upstream; calls are queued.
    Acquiring,
    /// The owner orders and dispatches.
    Active,
    /// The owner finishes the calls that it has dispatched and takes no others.
    Releasing,
}
