use std::time::Duration;

/// The refusal of a part of prompts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartRefusal {
    /// The key of the part.
    pub part: u64,
    /// Time since the refusal.
    pub age: Duration,
    /// Whether this instance saw any of the crashes itself.
    pub is_observed: bool,
}
