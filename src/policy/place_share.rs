/// Divisor of the places of an upstream that requests sent ahead of their answers may take.
const AHEAD_DIVISOR: usize = 2;

/// Returns whether a request may take a place at an upstream where this instance has `in_use` of its `limit`
/// requests in progress.
///
/// This answers crowds of callers that send many requests at once without waiting for the answers: such
/// requests leave half of the places to callers that wait.
#[must_use]
pub const fn may_take_place(in_use: usize, limit: usize, is_sent_ahead: bool) -> bool {
    !is_sent_ahead || in_use < limit / AHEAD_DIVISOR
}
