//! The HTTP client shared by the platform client and the upstream clients.

mod http_transport;

pub use http_transport::HttpTransport;
