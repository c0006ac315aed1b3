//! Rendezvous hashing: each key is assigned to the candidate with the highest score.
//!
//! When a candidate leaves, only its own keys move; when one joins, it receives keys evenly from
//! all others.

use xxhash_rust::xxh3::Xxh3;

/// Returns the score of a candidate for a key; all instances compute the same value.
#[must_use]
pub fn rendezvous_score(key: &str, candidate: &str) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(&(key.len() as u64).to_be_bytes());
    hasher.update(key.as_bytes());
    hasher.update(candidate.as_bytes());
    hasher.digest()
}

/// Returns the candidate with the highest score, or `None` if there is no candidate.
///
/// Ties go to the greater candidate, so that all instances make the same choice.
pub fn rendezvous_pick<'a, T: Ord>(
    key: &str,
    candidates: impl IntoIterator<Item = &'a T>,
    name: impl Fn(&T) -> &str,
) -> Option<&'a T> {
    candidates
        .into_iter()
        .max_by_key(|candidate| (rendezvous_score(key, name(candidate)), *candidate))
}
