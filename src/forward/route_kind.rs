/// Whether requests of a route may be sent again after they may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests may run at most once.
    NonIdempotent,
    /// Responses are event streams; requests may run at most once unless the stream is resumable.
    Stream,
}
