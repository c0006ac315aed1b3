//! The HTTP endpoints for operators: health, readiness, state and metrics.

mod admin_context;
mod admin_server;
mod bearer_check;
mod node_report;
mod peer_report;
mod upstream_report;

pub use admin_context::AdminContext;
pub use admin_server::AdminServer;
pub use node_report::NodeReport;
pub use peer_report::PeerReport;
pub use upstream_report::UpstreamReport;
