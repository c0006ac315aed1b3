//! The HTTP client shared by the clients of the platform, of upstreams and of the admin endpoints.

mod body_buffer;
mod head_limits;
mod http_transport;
mod timed_body;
mod write_limit;
mod yielding_connector;
mod yielding_stream;

pub(crate) use body_buffer::{BodyFault, read_bounded};
pub(crate) use head_limits::{MAX_RESPONSE_HEAD_BYTES, MAX_RESPONSE_HEADERS};
pub use http_transport::HttpTransport;
pub use write_limit::WriteLimit;
pub(crate) use yielding_stream::YieldingStream;
