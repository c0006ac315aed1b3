use bytes::Bytes;

/// An object as the store returned it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredObject {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// The version; each write of the object raises it.
    pub version: u64,
}
