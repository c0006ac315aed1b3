//! Upstream ownership: acquisition, scheduling and handover.
//!
//! Each upstream has one owner among the instances, chosen by [`OwnerMap`]. [`OwnerRegistry`]
//! acquires and releases the upstreams assigned to this instance. [`UpstreamOwner`] drives the
//! scheduler of one upstream: it queues and dispatches calls, orders loads and evictions, and
//! relays answers. An owner's epoch is the fencing token of its orders.

mod call_outcome;
mod call_runner;
mod epoch_status;
mod lease_guard;
mod owner_call;
mod owner_context;
mod owner_dispatch;
mod owner_map;
mod owner_orders;
mod owner_phase;
mod owner_recorder;
mod owner_registry;
mod owner_state;
mod owner_status;
mod plain_runner;
mod release_ledger;
mod resident_review;
mod tracked_call;
mod upstream_client;
mod upstream_owner;

pub use epoch_status::EpochStatus;
pub use lease_guard::LeaseGuard;
pub use owner_call::OwnerCall;
pub use owner_context::{EpochStatusLookup, OwnerContext};
pub use owner_map::OwnerMap;
pub use owner_phase::OwnerPhase;
pub use owner_recorder::OwnerRecorder;
pub use owner_registry::{HandoverAnnouncer, OwnerRegistry};
pub use release_ledger::ReleaseLedger;
pub use resident_review::{ResidentReview, ReviewInput};
pub use upstream_owner::UpstreamOwner;
