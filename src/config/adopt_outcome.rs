/// What became of tables that were offered to a [`ConfigStore`](super::ConfigStore).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdoptOutcome {
    /// They are in force.
    Adopted,
    /// The tables in force have the same or a newer revision.
    Stale,
    /// The change does not start from the tables in force; pull again with this base.
    PullAgain(u64),
}
