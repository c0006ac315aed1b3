use xxhash_rust::xxh3::xxh3_128;

use crate::id::CallerId;

/// The scope of an idempotency key: caller, route and the key itself.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClaimKey {
    digest: u128,
}

impl ClaimKey {
    /// Digests the parts of a key.
    ///
    /// Each part is preceded by its length, so that parts of different keys cannot run together.
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

    /// Returns the digest under which the claim is recorded.
    #[must_use]
    pub const fn digest(&self) -> u128 {
        self.digest
    }

    /// Returns the position of the object that holds the claim.
    #[must_use]
    pub fn shard(&self, shards: usize) -> usize {
        usize::try_from(self.digest % shards as u128).unwrap_or(0)
    }
}
