use std::time::Duration;

use bytes::Bytes;

use crate::id::{AdapterRef, CallerId, RequestId, RequestRank};
use crate::peer::CallOpen;

/// A validated request with its route, ready to be placed on an upstream.
#[derive(Debug, Clone)]
pub struct RoutedRequest {
    /// The id assigned on arrival, also returned as `x-request-id`.
    pub request: RequestId,
    /// The name of the matched route.
    pub route: String,
    /// The pool whose upstreams may serve the request.
    pub pool: String,
    /// The adapter; `None` for plain services.
    pub adapter: Option<AdapterRef>,
    /// The caller, which fair queuing and the scope of idempotency keys refer to.
    pub caller: CallerId,
    /// The priority rank, from the headers or the route.
    pub rank: RequestRank,
    /// Arrival time on the clock of this process; latencies are measured from it.
    pub accepted_at: Duration,
    /// The deadline, on the clock of this process.
    pub deadline: Duration,
    /// Whether the request may be sent to an upstream a second time.
    pub is_repeatable: bool,
    /// The revision of the tables that routed the request.
    pub revision: u64,
    /// The HTTP method to send to the upstream.
    pub method: String,
    /// The path and query; empty for completions.
    pub path: String,
    /// The content type of the body.
    pub content_type: String,
    /// The maximum length of the response in tokens; zero if the caller set none.
    pub tokens: u32,
    /// The body, forwarded unchanged.
    pub body: Bytes,
}

impl RoutedRequest {
    /// Builds the message that opens a call at the owner of `upstream`.
    ///
    /// `from_token` is the index of the first token to send; it is above zero only if a response is
    /// resumed after its first token.
    #[must_use]
    pub fn to_open(
        &self,
        upstream: &str,
        attempt: u32,
        from_token: u64,
        now: Duration,
    ) -> CallOpen {
        let time_left = self.deadline.saturating_sub(now).as_millis();
        CallOpen {
            request: self.request.to_u128().to_be_bytes().to_vec(),
            attempt,
            upstream: upstream.to_owned(),
            adapter: self
                .adapter
                .as_ref()
                .map(ToString::to_string)
                .unwrap_or_default(),
            caller: self.caller.as_str().to_owned(),
            rank: u32::try_from(self.rank.index()).unwrap_or(0),
            time_left_ms: u64::try_from(time_left).unwrap_or(u64::MAX),
            method: self.method.clone(),
            path: self.path.clone(),
            content_type: self.content_type.clone(),
            body: self.body.to_vec(),
            is_repeatable: self.is_repeatable,
            route: self.route.clone(),
            revision: self.revision,
            from_token,
            tokens: self.tokens,
        }
    }
}
