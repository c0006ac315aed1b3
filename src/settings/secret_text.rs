use std::fmt;

use serde::Deserialize;

/// A secret whose text stays out of logs and error messages.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct SecretText(String);

impl SecretText {
    /// Wraps a secret.
    #[must_use]
    pub fn from_text(text: &str) -> Self {
        Self(text.to_owned())
    }

    /// Borrows the secret itself.
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
