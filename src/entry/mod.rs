//! The HTTP endpoints for callers.
//!
//! [`EntryServer`] receives requests. [`CompletionRequest`] and [`RequestHeaders`] check them,
//! [`EntryRouter`] finds the upstream and its owner, and the relay writes the answer in the
//! format of the completion protocol. Every failure becomes a [`RefusalAnswer`].

mod answer_events;
mod answer_relay;
mod caller_tls;
mod completion_format;
mod completion_request;
mod entry_context;
mod entry_gate;
mod entry_router;
mod entry_server;
mod event_body;
mod model_call;
mod plain_call;
mod refusal_answer;
mod request_headers;
mod routed_request;

pub use answer_events::AnswerEvents;
pub use caller_tls::load_tls;
pub use completion_format::CompletionFormat;
pub use completion_request::CompletionRequest;
pub use entry_context::EntryContext;
pub use entry_gate::{EntryGate, EntryPass};
pub use entry_router::EntryRouter;
pub use entry_server::EntryServer;
pub use event_body::EventBody;
pub use refusal_answer::RefusalAnswer;
pub use request_headers::RequestHeaders;
pub use routed_request::RoutedRequest;

/// The body of an answer: whole or a stream of events.
pub type EntryBody =
    http_body_util::Either<http_body_util::Full<bytes::Bytes>, event_body::EventBody>;

/// Wraps a body that is known as a whole.
fn whole_body(body: impl Into<bytes::Bytes>) -> EntryBody {
    EntryBody::Left(http_body_util::Full::new(body.into()))
}
