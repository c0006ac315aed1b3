/// What to do with a request, judged by the crashes that it is charged with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectVerdict {
    /// Runs like any other request.
    Clear,
    /// Runs alone on its upstream.
    Exclusive,
    /// Is refused.
    Refused,
}
