/// A part of what the platform's store tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FeedKind {
    /// Routes and services.
    Config,
    /// The list of upstreams.
    Upstreams,
    /// Adapter versions.
    Versions,
    /// The other instances.
    Instances,
}
