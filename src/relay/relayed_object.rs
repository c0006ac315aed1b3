use bytes::Bytes;

/// An object of the store as instances pass it on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayedObject {
    /// The name, unique within its kind.
    pub name: String,
    /// The revision of the last change that matters to instances.
    pub revision: u64,
    /// What matters of the content; the part that reads the store chooses it.
    pub payload: Bytes,
}
