use super::StoredClaims;

/// The reply to a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StorageWrite {
    /// The value was written; its version follows.
    Written(u64),
    /// The object has another version than expected; the present content follows, if it exists.
    Conflict(Option<StoredClaims>),
}
