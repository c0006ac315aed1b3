//! The command line and its subcommands.
//!
//! Each subcommand returns a [`CommandReport`], which is printed as text or as JSON and carries the
//! exit code.

mod admin_args;
mod admin_client;
mod apply_command;
mod audit_command;
mod check_command;
mod command_exit;
mod command_line;
mod command_report;
mod diff_command;
mod drain_command;
mod edit_report;
mod file_args;
mod node_command;
mod node_state;
mod output_format;
mod platform_args;
mod revision_header;
mod show_command;
mod state_fetch;
mod text_table;
mod upstreams_command;
mod where_command;

pub use admin_args::AdminArgs;
pub use admin_client::AdminClient;
pub use apply_command::ApplyCommand;
pub use audit_command::AuditCommand;
pub use check_command::CheckCommand;
pub use command_exit::CommandExit;
pub use command_line::{CommandLine, Subcommand};
pub use command_report::CommandReport;
pub use diff_command::DiffCommand;
pub use drain_command::{DrainCommand, DrainTarget};
pub use file_args::FileArgs;
pub use node_command::NodeCommand;
pub use node_state::{NodeState, PeerState, UpstreamLoad};
pub use output_format::OutputFormat;
pub use platform_args::PlatformArgs;
pub use show_command::ShowCommand;
pub use upstreams_command::UpstreamsCommand;
pub use where_command::WhereCommand;
