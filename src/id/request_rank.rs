use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::error::{Error, ErrorKind};

/// The priority class of a request; the order of the variants is the order of service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RequestRank {
    /// A person or a production machine, such as a press, waits for the response.
    Urgent,
    /// Ordinary interactive work.
    Standard,
    /// Work that may take hours, such as an overnight run.
    Batch,
}

impl RequestRank {
    /// All ranks, from the highest priority to the lowest.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Standard, Self::Batch];

    /// Returns the name used in headers, tables and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Standard => "standard",
            Self::Batch => "batch",
        }
    }

    /// Returns the position in [`RequestRank::ALL`].
    #[must_use]
    pub const fn index(self) -> usize {
        self as usize
    }
}

impl fmt::Display for RequestRank {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for RequestRank {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        Self::ALL
            .into_iter()
            .find(|rank| rank.as_str() == text)
            .ok_or_else(|| {
                Error::new(
                    ErrorKind::BadRequest,
                    format!("rank {text:?}: use urgent, standard or batch"),
                )
            })
    }
}
