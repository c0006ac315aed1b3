use bytes::Bytes;

/// One claims object as the object store returned it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredClaims {
    /// The encoded claims.
    pub value: Bytes,
    /// The version, for the next conditional write.
    pub version: u64,
}
