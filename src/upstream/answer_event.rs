use crate::id::{AdapterRef, AttemptId};

/// One event of an engine's streamed answer: a token, or the end of the answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerEvent {
    /// The attempt that the engine states in the event.
    pub attempt: AttemptId,
    /// The adapter and version that the engine ran, as stated in the event.
    pub adapter: AdapterRef,
    /// The index of the token, counted from 0; in the last event the number of tokens.
    pub token: u64,
    /// The text of the token; empty in the last event.
    pub text: String,
    /// The reason why the answer ended; present in the last event only.
    pub finish: Option<String>,
}
