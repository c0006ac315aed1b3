//! Load permits: the holder that grants them and its client.
//!
//! One instance of the fleet holds the permits of all weight stores. [`PermitHolder`] decides and
//! performs no input or output; [`PermitEndpoint`] lets bids wait for it, and [`PermitClient`] asks
//! it from any instance.
//!
//! The limits of a store hold over changes of the holder because a new holder starts empty and
//! waits until every load that its predecessor may have permitted has ended, and because a holder
//! that did not run for longer than the lease starts over in the same way.

mod client_config;
mod client_hooks;
mod counted_domains;
mod holder_config;
mod holder_grant;
mod load_permit;
mod permit_client;
mod permit_endpoint;
mod permit_holder;
mod permit_wait;
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
