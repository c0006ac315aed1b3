//! The HTTP client shared by the clients of the platform, of upstreams and of the admin endpoints.

mod body_buffer;
mod http_transport;

pub(crate) use body_buffer::{BodyFault, read_bounded};
pub use http_transport::HttpTransport;
