use xxhash_rust::xxh3::xxh3_128;

use crate::id::CallerId;

/// An idempotency key within the scope of its caller and route, as a digest.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClaimKey {
    digest: u128,
}

impl ClaimKey {
    /// Computes the digest of caller, route and key.
    ///
    /// Each part is preceded by its length, so that different parts cannot have the same
    /// concatenation.
    #[must_use]
    pub fn new(caller: &CallerId, route: &str, key: &str) -> Self {
        let mut text = Vec::with_capacity(caller.as_str().len() + route.len() + key.len() + 24);
        for part in [caller.as_str(), route, key] {
            text.extend_from_slice(&(part.len() as u64).to_be_bytes());
            text.extend_from_slice(part.as_bytes());
        }
        Self {
            digest: xxh3_128(&text),
        }
    }

    /// Returns the digest that the claim is stored under.
    #[must_use]
    pub const fn digest(&self) -> u128 {
        self.digest
    }

    /// Returns the index of the object that stores the claim, among `shards` objects.
    #[must_use]
    pub fn shard(&self, shards: usize) -> usize {
        usize::try_from(self.digest % shards as u128).unwrap_or(0)
    }
}
