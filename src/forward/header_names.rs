use http::HeaderName;

/// The names of the headers that a deployment uses between callers, ingress and upstreams.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// The id of a caller's attempt; an upstream echoes it in the response.
    pub attempt: HeaderName,
    /// The remaining time of the request, in milliseconds.
    pub deadline_ms: HeaderName,
    /// The base model, followed by a slash and the adapter if one is requested.
    pub model: HeaderName,
    /// The number of prompt tokens and the maximum number of output tokens, separated by a comma.
    pub token_counts: HeaderName,
    /// The parts of the prompt, which are included in the request's fingerprint.
    pub prompt_parts: HeaderName,
    /// The signature by which an upstream proves that it sent the response.
    pub signature: HeaderName,
    /// Present on a response if the upstream did not run the request.
    pub not_run: HeaderName,
    /// The id of the only upstream that may run the request.
    pub expect_upstream: HeaderName,
    /// The only adapter version that may run the request.
    pub expect_version: HeaderName,
    /// The priority rank of the request at the upstream.
    pub rank: HeaderName,
    /// The upstream's load: its running requests, its waiting requests and its slots.
    pub upstream_load: HeaderName,
    /// Has the value `1` on the responses of an upstream that is leaving.
    pub leaving: HeaderName,
    /// The id of the last event of a stream that the caller has received.
    pub last_event: HeaderName,
    /// The name of the request's workspace, which only the ingress sets.
    pub workspace: HeaderName,
    /// Headers that only the ingress may set; they are removed from callers' requests.
    pub reserved: Vec<HeaderName>,
}
