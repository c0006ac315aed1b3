use std::fmt;
use std::str::FromStr;

use crate::error::{Error, ErrorKind};

/// Identifies one version of a LoRA adapter; the text form is `name@version`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct AdapterRef {
    name: String,
    version: String,
}

impl AdapterRef {
    /// Creates a reference to version `version` of the adapter `name`.
    ///
    /// # Errors
    ///
    /// Fails if the name or the version is empty, is longer than 128 bytes or contains characters
    /// other than ASCII letters, digits, `-`, `_` and `.`.
    pub fn new(name: &str, version: &str) -> Result<Self, Error> {
        if !is_valid_part(name) || !is_valid_part(version) {
            return Err(Error::new(
                ErrorKind::BadRequest,
                format!(
                    "adapter {name:?} version {version:?}: use ASCII letters, digits, '-', '_' and '.'"
                ),
            ));
        }
        Ok(Self {
            name: name.to_owned(),
            version: version.to_owned(),
        })
    }

    /// Borrows the name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Borrows the version.
    #[must_use]
    pub fn version(&self) -> &str {
        &self.version
    }
}

impl fmt::Display for AdapterRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.name, self.version)
    }
}

impl FromStr for AdapterRef {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let (name, version) = text.split_once('@').ok_or_else(|| {
            Error::new(
                ErrorKind::BadRequest,
                format!("adapter {text:?}: write it as name@version"),
            )
        })?;
        Self::new(name, version)
    }
}

/// Excludes the characters that separate the parts of engine names, object keys and log lines.
fn is_valid_part(part: &str) -> bool {
    !part.is_empty()
        && part.len() <= 128
        && part
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.'))
}
