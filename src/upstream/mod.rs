//! Clients of the upstreams: model engines and plain HTTP services.
//!
//! [`EngineClient`] sends completions and orders to an engine and [`PlainClient`] sends calls to a
//! service. Only this module depends on their wire formats.

mod answer_event;
mod answer_stream;
mod cache_event;
mod engine_call;
mod engine_client;
mod engine_order;
mod engine_status;
mod event_parser;
mod event_wire;
mod plain_answer;
mod plain_call;
mod plain_client;
mod resident_adapter;
mod upstream_refusal;

pub use answer_event::AnswerEvent;
pub use answer_stream::AnswerStream;
pub use cache_event::CacheEvent;
pub use engine_call::EngineCall;
pub use engine_client::{ADAPTER_HEADER, ATTEMPT_HEADER, EPOCH_HEADER, EngineClient, RANK_HEADER};
pub use engine_order::EngineOrder;
pub use engine_status::EngineStatus;
pub use event_parser::EventParser;
pub use event_wire::EventWire;
pub use plain_answer::PlainAnswer;
pub use plain_call::PlainCall;
pub use plain_client::PlainClient;
pub use resident_adapter::ResidentAdapter;
