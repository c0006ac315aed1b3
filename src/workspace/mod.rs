//! Workspaces: customers that share a deployment, each with API keys, a rank and an allowance.
//!
//! [`WorkspaceTable`] belongs to one version of the configuration and finds the workspace of a key.
//! A configuration without workspaces asks callers for no key.

mod allowance_spec;
mod key_digest;
mod workspace_entry;
mod workspace_table;

pub use allowance_spec::{AllowanceSpec, AllowanceUnit};
pub use key_digest::KeyDigest;
pub use workspace_entry::WorkspaceEntry;
pub use workspace_table::WorkspaceTable;
