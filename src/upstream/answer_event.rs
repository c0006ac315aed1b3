use crate::id::{AdapterRef, AttemptId};

/// One event of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerEvent {
    /// The attempt that the engine says it answers.
    pub attempt: AttemptId,
    /// The adapter and version that the engine says it ran.
    pub adapter: AdapterRef,
    /// The index of the token, counted from 0; in the last event the number of tokens.
    pub token: u64,
    /// The text of the token; empty in the last event.
    pub text: String,
    /// Why the answer ended; present in the last event only.
    pub finish: Option<String>,
}
