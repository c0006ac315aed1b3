use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Returns the rendezvous hashing score of a node for a key; the node with the highest score is the
/// first choice for the key.
///
/// When a node joins or leaves, only the keys that it gains or loses move.
#[must_use]
pub fn placement_score(key: &str, node: &str) -> u64 {
    xxh3_64_with_seed(node.as_bytes(), xxh3_64(key.as_bytes()))
}
