/// What an adapter slot of an engine is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotState {
    /// A load has been ordered and has not ended.
    Loading,
    /// The adapter can serve requests.
    Resident,
    /// An eviction has been ordered and has not ended.
    Evicting,
}
