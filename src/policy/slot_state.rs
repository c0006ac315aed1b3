/// State of an occupied adapter slot of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotState {
    /// A load has been ordered and has not finished.
    Loading,
    /// The adapter can serve requests.
    Resident,
    /// An eviction has been ordered and has not finished.
    Evicting,
}
