use prost::Message;
use xxhash_rust::xxh3::xxh3_64;

use crate::peer::OwnedUpstream;

/// An owned upstream with the digest by which acknowledgements of it are compared.
///
/// The digest is computed once for all peers. To encode each upstream for each peer several times a
/// second would cost an owner time in proportion to the size of the fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct DigestedItem {
    /// The upstream with its resident models and adapters.
    pub item: OwnedUpstream,
    /// The digest of the item without its backlog, which is sent in every message.
    pub digest: u64,
}

impl DigestedItem {
    /// Computes the digest of an item.
    #[must_use]
    pub fn new(item: OwnedUpstream) -> Self {
        let resident = OwnedUpstream {
            backlog_ms: 0,
            ..item.clone()
        };
        let digest = xxh3_64(&resident.encode_to_vec());
        Self { item, digest }
    }
}
