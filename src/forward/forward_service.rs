use super::EngineSpec;

/// A group of upstreams that serve the same requests.
#[derive(Debug, Clone, PartialEq)]
pub struct ForwardService {
    /// The name by which routes and upstreams refer to the service.
    pub name: String,
    /// Number of connections that each upstream accepts from all instances together.
    pub max_connections: u32,
    /// The capacity of the engines, or `None` for a plain service.
    pub engine: Option<EngineSpec>,
}
