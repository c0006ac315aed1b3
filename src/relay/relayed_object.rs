use bytes::Bytes;

/// An object of the store in the form in which instances relay it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayedObject {
    /// The name, unique within its kind.
    pub name: String,
    /// The revision of the last change that is relevant to instances.
    pub revision: u64,
    /// The relevant part of the content, selected by the code that reads the store.
    pub payload: Bytes,
}
