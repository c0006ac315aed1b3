/// What is wrong with one answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AnswerFault {
    /// Nothing.
    None,
    /// Each event is sent twice.
    Duplicate,
    /// It ends without an end marker after half of its tokens.
    Truncate,
    /// Its connection is cut after half of its tokens.
    Cut,
}
