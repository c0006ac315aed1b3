use std::fmt;

use serde::{Deserialize, Serialize};

/// The name of a caller, used for fair queueing and as the scope of idempotency keys.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallerId(String);

impl CallerId {
    /// Wraps the name of a caller.
    #[must_use]
    pub fn from_name(name: &str) -> Self {
        Self(name.to_owned())
    }

    /// Borrows the name.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for CallerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
