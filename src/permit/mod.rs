//! Load permits, which limit the rate and the number of loads from each weight store.
//!
//! One instance of the fleet, the permit holder, grants the permits of all weight stores. Owners of
//! upstreams bid for them. [`PermitHolder`] makes the decisions and performs no I/O;
//! [`PermitEndpoint`] is its asynchronous interface, where bids wait until they are granted, and
//! [`PermitClient`] sends bids to the holder from any instance.
//!
//! The limits are kept across changes of the holder: a new holder starts with empty token
//! buckets and grants nothing until every load that its predecessor may have permitted has ended. A
//! holder that was paused for longer than the lease resets itself in the same way.

mod client_config;
mod client_hooks;
mod counted_domains;
mod holder_config;
mod holder_grant;
mod load_permit;
mod pending_bid;
mod permit_client;
mod permit_endpoint;
mod permit_holder;
mod store_bucket;

pub use client_config::ClientConfig;
pub use client_hooks::ClientHooks;
pub use counted_domains::counted_domains;
pub use holder_config::HolderConfig;
pub use holder_grant::HolderGrant;
pub use load_permit::LoadPermit;
pub use permit_client::PermitClient;
pub use permit_endpoint::PermitEndpoint;
pub use permit_holder::PermitHolder;
