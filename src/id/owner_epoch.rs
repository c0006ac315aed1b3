use std::fmt;
use std::str::FromStr;

use xxhash_rust::xxh3::xxh3_64;

use crate::error::{Error, ErrorKind};

/// The ownership generation of an upstream; engines that check it use it as the fencing token.
///
/// The upper 32 bits count takeovers. The lower 32 bits hash the name of the owning process, so that
/// two processes that take over with the same count hold different epochs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct OwnerEpoch(u64);

impl OwnerEpoch {
    /// Returns an epoch for the process `process` that is above every epoch of `seen`.
    #[must_use]
    pub fn after(seen: &[Self], process: &str) -> Self {
        let count = seen.iter().map(|epoch| epoch.0 >> 32).max().unwrap_or(0) + 1;
        Self(count << 32 | hash(process))
    }

    /// Returns whether the process `process` took the epoch.
    #[must_use]
    pub fn belongs_to(self, process: &str) -> bool {
        self.0 & u64::from(u32::MAX) == hash(process)
    }

    /// Wraps a number read from an engine or a stored record.
    #[must_use]
    pub const fn from_u64(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number that engines compare.
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
