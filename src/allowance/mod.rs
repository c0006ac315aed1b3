//! Allowances of workspaces: what a workspace may use across all instances.
//!
//! [`AllowanceLedger`] decides on each request at the instance that received it, without a message.
//! What the instances ask and admit travels with the reports of in-flight load. The decision itself
//! is [`AllowanceBucket`](crate::policy::AllowanceBucket).

mod allowance_grant;
mod allowance_ledger;
mod allowance_refusal;
mod fleet_cover;
mod limited_workspace;
mod peer_usage;

pub use allowance_grant::AllowanceGrant;
pub use allowance_ledger::AllowanceLedger;
pub use allowance_refusal::AllowanceRefusal;
pub use fleet_cover::FleetCover;
