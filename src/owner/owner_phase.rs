/// The lifecycle phase of an upstream's ownership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerPhase {
    /// The owner reads the engine's status before it chooses an epoch; calls are queued.
    Acquiring,
    /// The owner sends orders and dispatches calls.
    Active,
    /// The owner completes the calls already dispatched and refuses new ones.
    Releasing,
}
