use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Scores a node for a key by rendezvous hashing; the node with the highest score holds the key.
///
/// When a node joins or leaves, only the keys that it gains or held move.
#[must_use]
pub fn placement_score(key: &str, node: &str) -> u64 {
    xxh3_64_with_seed(node.as_bytes(), xxh3_64(key.as_bytes()))
}
