use bytes::Bytes;

/// An object as the store returned it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredObject {
    /// The key, unique in the store.
    pub key: String,
    /// The value, at most [`VALUE_LIMIT_BYTES`](super::VALUE_LIMIT_BYTES) long.
    pub value: Bytes,
    /// The version, which increases with each write of the object.
    pub version: u64,
}
