use std::fmt;
use std::str::FromStr;

use xxhash_rust::xxh3::xxh3_64;

use crate::error::{Error, ErrorKind};

/// The epoch of an upstream's owner, used as the fencing token by engines that support fencing.
///
/// The upper 32 bits count ownership changes. The lower 32 bits are a hash of the owning process's
/// name, so that two processes that become owner with the same count have different epochs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct OwnerEpoch(u64);

impl OwnerEpoch {
    /// Returns an epoch for the process named `process`, greater than every epoch in `seen`.
    #[must_use]
    pub fn after(seen: &[Self], process: &str) -> Self {
        let count = seen.iter().map(|epoch| epoch.0 >> 32).max().unwrap_or(0) + 1;
        Self(count << 32 | hash(process))
    }

    /// Returns whether the epoch contains the hash of the name `process`.
    #[must_use]
    pub fn belongs_to(self, process: &str) -> bool {
        self.0 & u64::from(u32::MAX) == hash(process)
    }

    /// Wraps a number read from an engine or a stored record.
    #[must_use]
    pub const fn from_u64(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number that engines compare to detect former owners.
    #[must_use]
    pub const fn to_u64(self) -> u64 {
        self.0
    }
}

impl fmt::Display for OwnerEpoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for OwnerEpoch {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        u64::from_str_radix(text, 16).map(Self).map_err(|error| {
            Error::new(
                ErrorKind::Upstream,
                format!("owner epoch {text:?}: {error}"),
            )
        })
    }
}

fn hash(process: &str) -> u64 {
    xxh3_64(process.as_bytes()) & u64::from(u32::MAX)
}
