use super::AllowanceSpec;

/// A workspace as the configuration states it, without its keys.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkspaceEntry {
    /// The name of the workspace, which upstreams are told.
    pub name: String,
    /// The rank of its requests, which goes before that of the route; `None` leaves the route's.
    pub rank: Option<u8>,
    /// What it may use, or `None` if it is not limited.
    pub allowance: Option<AllowanceSpec>,
}
