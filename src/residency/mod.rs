//! Adapter residency: which engines hold which adapters, which instance may load and evict them,
//! and in which order.
//!
//! Each failure domain has one owner instance. Only the owner orders loads and evictions at the
//! upstreams of the domain. [`DomainLease`] decides whether this instance is the owner,
//! [`ResidencyLedger`] tracks what one upstream holds and chooses the next order, and [`LoadOwner`]
//! sends the orders. Every instance looks up the upstreams that hold an adapter in
//! [`ResidencyDirectory`] and requests loads from the owner of an upstream through [`LoadClient`].
//! [`OwnershipLoop`] renews the leases and exchanges gossip messages with the peers.

mod ack_quorum;
mod ack_tracker;
mod claim_answer;
mod digested_item;
mod domain_lease;
mod fetch_permits;
mod fetch_pool;
mod fleet_view;
mod gossip_tree;
mod lease_answers;
mod lease_claim;
mod lease_eras;
mod lease_record;
mod ledger_answers;
mod load_client;
mod load_gossip;
mod load_owner;
mod load_priority;
mod loader_task;
mod order_log;
mod order_port;
mod owner_claims;
mod owner_permits;
mod owner_state;
mod ownership_loop;
mod reach_tracker;
mod residency_directory;
mod residency_ledger;
mod store_port;
mod waiting_load;

pub use ack_quorum::AckQuorum;
pub use ack_tracker::AckTracker;
pub use claim_answer::ClaimAnswer;
pub use digested_item::DigestedItem;
pub use domain_lease::{DomainLease, LeaseStep};
pub use fetch_pool::FetchPool;
pub use gossip_tree::{GossipScope, GossipTree};
pub use lease_claim::LeaseClaim;
pub use lease_record::LeaseRecord;
pub use load_client::LoadClient;
pub use load_owner::LoadOwner;
pub use load_priority::LoadPriority;
pub use order_port::{EngineOrder, EngineReport, OrderKind, OrderOutcome, OrderPort, PortFuture};
pub use ownership_loop::OwnershipLoop;
pub use reach_tracker::ReachTracker;
pub use residency_directory::ResidencyDirectory;
pub use residency_ledger::{LedgerAction, LedgerLimits, ResidencyLedger};
pub use store_port::{LeaseWrite, StorePort};
pub use waiting_load::{LoadRefusal, LoadWaiter};
