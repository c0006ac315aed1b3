use std::fmt;
use std::str::FromStr;

use crate::error::{Error, ErrorKind};
use crate::id::AdapterRef;

/// A pattern for the adapters that a route accepts: one adapter, or a family of adapters whose
/// names share a prefix.
///
/// The text form is `name@version` for one adapter and `prefix*@version` for a family.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct AdapterRule {
    prefix: String,
    is_family: bool,
    version: String,
}

impl AdapterRule {
    /// Returns whether the rule accepts an adapter name, regardless of the version.
    #[must_use]
    pub fn is_match(&self, name: &str) -> bool {
        if self.is_family {
            name.starts_with(&self.prefix)
        } else {
            name == self.prefix
        }
    }

    /// Returns the only version that the rule accepts.
    #[must_use]
    pub fn version(&self) -> &str {
        &self.version
    }
}

impl fmt::Display for AdapterRule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let star = if self.is_family { "*" } else { "" };
        write!(f, "{}{star}@{}", self.prefix, self.version)
    }
}

impl FromStr for AdapterRule {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let (name, version) = text.split_once('@').ok_or_else(|| {
            Error::new(
                ErrorKind::Table,
                format!("adapter {text:?}: write name@version or prefix*@version"),
            )
        })?;
        let (prefix, is_family) = name
            .strip_suffix('*')
            .map_or((name, false), |prefix| (prefix, true));
        // A family may have an empty prefix, which `AdapterRef` would reject, so a placeholder is
        // checked instead. All other names are checked as they are.
        let name = if prefix.is_empty() && is_family {
            "any"
        } else {
            prefix
        };
        if AdapterRef::new(name, version).is_err() {
            return Err(Error::new(
                ErrorKind::Table,
                format!(
                    "adapter {text:?}: use ASCII letters, digits, '-', '_' and '.' in the name and \
                     the version"
                ),
            ));
        }
        Ok(Self {
            prefix: prefix.to_owned(),
            is_family,
            version: version.to_owned(),
        })
    }
}
