use std::fmt;
use std::str::FromStr;

use crate::error::{Error, ErrorKind};
use crate::id::{AdapterRef, OwnerEpoch};

/// The name under which an adapter is loaded at an engine: `name@version~epoch`.
///
/// The epoch separates the orders of successive owners at engines that ignore fencing tokens: a
/// delayed eviction by a former owner names an adapter that the current owner does not use.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct EngineName {
    adapter: AdapterRef,
    epoch: OwnerEpoch,
}

impl EngineName {
    /// Creates the name of an adapter that the owner with `epoch` loads.
    #[must_use]
    pub const fn new(adapter: AdapterRef, epoch: OwnerEpoch) -> Self {
        Self { adapter, epoch }
    }

    /// Borrows the adapter.
    #[must_use]
    pub const fn adapter(&self) -> &AdapterRef {
        &self.adapter
    }

    /// Returns the epoch of the owner that loaded the adapter.
    #[must_use]
    pub const fn epoch(&self) -> OwnerEpoch {
        self.epoch
    }
}

impl fmt::Display for EngineName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}~{}", self.adapter, self.epoch)
    }
}

impl FromStr for EngineName {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let (adapter, epoch) = text.split_once('~').ok_or_else(|| {
            Error::new(
                ErrorKind::Upstream,
                format!("engine name {text:?}: expected name@version~epoch"),
            )
        })?;
        Ok(Self::new(adapter.parse()?, epoch.parse()?))
    }
}
