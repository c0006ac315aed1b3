//! Revisions of a store that may come back from an older copy of itself.
//!
//! Such a store gives out revisions again, and states in each answer how often it has come back: its
//! era. A stamped revision holds the era in its upper bits, so that of two revisions the later one is
//! always the higher one. A store that states no era is in era zero, where the two are the same.

/// Number of bits of the revision within an era; a store with 100,000 changes a second uses them up in
/// five years.
const REVISION_BITS: u32 = 44;

/// The highest revision within an era.
const MAX_REVISION: u64 = (1 << REVISION_BITS) - 1;

/// The highest era.
const MAX_ERA: u64 = u64::MAX >> REVISION_BITS;

/// Returns the stamped revision. An era or a revision that is too large counts as the highest one.
#[must_use]
pub fn stamp_revision(era: u64, revision: u64) -> u64 {
    (era.min(MAX_ERA) << REVISION_BITS) | revision.min(MAX_REVISION)
}

/// Returns the era of a stamped revision.
#[must_use]
pub const fn revision_era(stamped: u64) -> u64 {
    stamped >> REVISION_BITS
}

/// Returns the revision within its era.
#[must_use]
pub const fn plain_revision(stamped: u64) -> u64 {
    stamped & MAX_REVISION
}
