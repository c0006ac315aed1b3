use std::fmt;

use serde::Serialize;

/// One difference between two table sets, as a line of the output of `comfreychute diff`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "change", rename_all = "lowercase")]
pub enum DifferenceLine {
    /// A row that only the second set has.
    Added {
        /// The key of the row.
        row: String,
        /// Its content as JSON.
        value: String,
    },
    /// A row that only the first set has.
    Removed {
        /// The key of the row.
        row: String,
        /// Its content as JSON.
        value: String,
    },
    /// A field that differs in a row that both sets have.
    Changed {
        /// The key of the row.
        row: String,
        /// The field of the row that differs.
        key: String,
        /// The value in the first set as JSON, or `unset`.
        from: String,
        /// The value in the second set as JSON, or `unset`.
        to: String,
    },
    /// A row whose preceding row differs.
    Moved {
        /// The key of the row.
        row: String,
        /// The name of the preceding row in the second set, or `first`.
        after: String,
    },
}

impl fmt::Display for DifferenceLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added { row, value } => write!(f, "+ {row} {value}"),
            Self::Removed { row, value } => write!(f, "- {row} {value}"),
            Self::Changed { row, key, from, to } => write!(f, "~ {row} {key}: {from} -> {to}"),
            Self::Moved { row, after } if after == "first" => write!(f, "> {row} is first"),
            Self::Moved { row, after } => write!(f, "> {row} follows {after}"),
        }
    }
}
