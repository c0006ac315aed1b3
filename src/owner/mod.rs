//! Ownership of upstreams and the work that owners do.
//!
//! [`OwnerRegistry`] decides with the owner map which upstreams this instance owns, takes them
//! over and hands them back. [`UpstreamOwner`] drives the scheduler of one upstream: it queues
//! calls, orders loads and evictions, dispatches, and relays answers.

mod call_outcome;
mod call_runner;
mod epoch_status;
mod lease_guard;
mod owned_call;
mod owner_call;
mod owner_calls;
mod owner_context;
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
