use http::HeaderName;

/// The names of the headers that a deployment uses.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Identifies one attempt of a caller; an upstream repeats it.
    pub attempt: HeaderName,
    /// Milliseconds that the caller, or the upstream, still has.
    pub deadline_ms: HeaderName,
    /// The base model, with the adapter after a slash.
    pub model: HeaderName,
    /// Prompt tokens and the most output tokens.
    pub token_counts: HeaderName,
    /// The parts of the prompt.
    pub prompt_parts: HeaderName,
    /// Proves that an answer is an upstream's.
    pub signature: HeaderName,
    /// States that the upstream did not run the request.
    pub not_run: HeaderName,
    /// The upstream that alone may run the request.
    pub expect_upstream: HeaderName,
    /// The adapter version that alone may run the request.
    pub expect_version: HeaderName,
    /// The rank of the request at the upstream.
    pub rank: HeaderName,
    /// Running and waiting requests and the slots of the upstream.
    pub upstream_load: HeaderName,
    /// The last event of a stream that the caller has.
    pub last_event: HeaderName,
    /// Headers that only the system may set; they are removed from a caller's request.
    pub reserved: Vec<HeaderName>,
}
