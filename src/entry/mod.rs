//! The HTTP endpoints for callers.
//!
//! [`EntryServer`] accepts requests. [`CompletionRequest`] and [`RequestHeaders`] validate them,
//! [`EntryRouter`] selects an upstream and opens a call to its owner, and the response relay
//! formats the response for the completion protocol. A request that fails receives an
//! [`ErrorResponse`], or an `error` event if its response is streamed already.

mod caller_tls;
mod completion_format;
mod completion_request;
mod entry_context;
mod entry_router;
mod entry_server;
mod error_response;
mod event_body;
mod model_call;
mod plain_call;
mod request_headers;
mod request_tracker;
mod response_events;
mod response_relay;
mod routed_request;

pub use caller_tls::load_tls;
pub use completion_format::CompletionFormat;
pub use completion_request::CompletionRequest;
pub use entry_context::EntryContext;
pub use entry_router::EntryRouter;
pub use entry_server::EntryServer;
pub use error_response::ErrorResponse;
pub use event_body::EventBody;
pub use request_headers::RequestHeaders;
pub use request_tracker::{RequestGuard, RequestTracker};
pub use response_events::ResponseEvents;
pub use routed_request::RoutedRequest;

/// The body of an HTTP response: a complete buffer or a stream of server-sent events.
pub type ResponseBody =
    http_body_util::Either<http_body_util::Full<bytes::Bytes>, event_body::EventBody>;

/// Wraps a complete body.
fn full_body(body: impl Into<bytes::Bytes>) -> ResponseBody {
    ResponseBody::Left(http_body_util::Full::new(body.into()))
}
