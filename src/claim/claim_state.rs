/// The state of a claim; a pending claim ends as finished or as not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum ClaimState {
    /// Written before the request is dispatched; the request may have run.
    Pending = 0,
    /// The request ran and its answer is recorded.
    Finished = 1,
    /// The holder stated that no byte of the request was written to an upstream.
    NotRun = 2,
}
