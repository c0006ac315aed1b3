use std::fmt;

use serde::Deserialize;

/// A secret whose `Debug` output is redacted, so that it does not appear in logs or error messages.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct SecretText(String);

impl SecretText {
    /// Wraps the plain text of a secret.
    #[must_use]
    pub fn from_text(text: &str) -> Self {
        Self(text.to_owned())
    }

    /// Borrows the plain text, for comparison or for authentication.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for SecretText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("[redacted]")
    }
}
