/// The state of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum ClaimState {
    /// Written before the dispatch; the request may have run.
    Pending = 0,
    /// The request ran and its answer is known.
    Finished = 1,
    /// The holder stated that no byte of the request was written to an upstream.
    NotRun = 2,
}
