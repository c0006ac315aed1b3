/// The result of offering tables to a [`ConfigStore`](super::ConfigStore).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdoptOutcome {
    /// The offered tables are now in force.
    Adopted,
    /// The tables in force have the same or a newer revision and were kept.
    Stale,
    /// The delta does not apply to the tables in force; a pull with this base must follow. Zero
    /// requests all rows.
    PullAgain(u64),
}
