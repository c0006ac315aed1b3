/// What may be repeated of the requests of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// May run once at most.
    NonIdempotent,
    /// Answers with events; may run once at most unless the stream can be resumed.
    Stream,
}
