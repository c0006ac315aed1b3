//! The HTTP client that the clients of the platform and of upstreams share.

mod http_transport;

pub use http_transport::HttpTransport;
