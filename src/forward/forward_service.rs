use super::EngineSpec;

/// A group of upstreams that serve the same requests.
#[derive(Debug, Clone, PartialEq)]
pub struct ForwardService {
    /// The name.
    pub name: String,
    /// Connections that one upstream accepts from all instances together.
    pub max_connections: u32,
    /// The engine; none for a plain service.
    pub engine: Option<EngineSpec>,
}
