use super::StoredObject;

/// The outcome of a conditional update that the store decided.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The value was written; the new version.
    Written(u64),
    /// The expected version was not the present one; the present object, if there is one.
    Conflict(Option<StoredObject>),
}
