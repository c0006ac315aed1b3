use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

use crate::id::EngineName;

/// An adapter that an engine has loaded.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResidentAdapter {
    /// The name under which the engine has loaded the adapter.
    #[serde_as(as = "DisplayFromStr")]
    pub name: EngineName,
    /// The number of requests for the adapter that are running or waiting.
    pub running: u32,
}
