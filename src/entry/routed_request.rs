use std::time::Duration;

use bytes::Bytes;

use crate::id::{AdapterRef, CallerId, RequestId, RequestRank};
use crate::peer::CallOpen;

/// A checked request, ready to be placed on an upstream.
#[derive(Debug, Clone)]
pub struct RoutedRequest {
    /// The request.
    pub request: RequestId,
    /// The name of the route.
    pub route: String,
    /// The name of the pool.
    pub pool: String,
    /// The adapter; none for plain services.
    pub adapter: Option<AdapterRef>,
    /// The caller.
    pub caller: CallerId,
    /// The rank.
    pub rank: RequestRank,
    /// When the request came, on the clock of this process.
    pub accepted_at: Duration,
    /// The deadline, on the clock of this process.
    pub deadline: Duration,
    /// Whether the request may be sent to an upstream a second time.
    pub is_repeatable: bool,
    /// The revision of the tables that routed the request.
    pub revision: u64,
    /// The HTTP method.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// The content type of the body.
    pub content_type: String,
    /// The longest answer in tokens; zero if the caller stated none.
    pub tokens: u32,
    /// The body.
    pub body: Bytes,
}

impl RoutedRequest {
    /// Builds the message to the owner of `upstream`.
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
