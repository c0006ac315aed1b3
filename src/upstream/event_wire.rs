use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

use super::AnswerEvent;
use crate::error::{Error, Result};
use crate::id::{AdapterRef, AttemptId};

/// The JSON form of one event of an answer.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventWire {
    /// The attempt that the engine answers.
    #[serde_as(as = "DisplayFromStr")]
    pub attempt: AttemptId,
    /// The name of the adapter.
    pub adapter: String,
    /// The version of the adapter.
    pub version: String,
    /// The index of the token, or the number of tokens in the last event.
    pub token: u64,
    /// The text of the token; empty in the last event.
    #[serde(default)]
    pub text: String,
    /// The reason why the answer ended; present in the last event only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish: Option<String>,
}

impl EventWire {
    /// Validates the names of adapter and version and converts the event.
    ///
    /// # Errors
    ///
    /// Fails if the adapter or its version is not a valid name.
    pub fn into_event(self) -> Result<AnswerEvent, Error> {
        Ok(AnswerEvent {
            attempt: self.attempt,
            adapter: AdapterRef::new(&self.adapter, &self.version)?,
            token: self.token,
            text: self.text,
            finish: self.finish,
        })
    }
}
