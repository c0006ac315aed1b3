use super::StoredObject;

/// The store's reply to a conditional update.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The value was written; contains the new version.
    Written(u64),
    /// The expected version is not the current one; contains the current object, if it exists.
    Conflict(Option<StoredObject>),
}
