//! Claims of idempotency keys in the object store.
//!
//! A request that may not be repeated claims its key before it is dispatched. Claims are stored in
//! 64 objects, which are changed by conditional updates only. Therefore at most one of all attempts
//! with the same key is granted, regardless of the instances they arrive at and of lost replies. A
//! claim passes to another attempt only after its holder has marked it as not run.

mod claim_batch;
mod claim_change;
mod claim_config;
mod claim_context;
mod claim_counters;
mod claim_counts;
mod claim_document;
mod claim_guard;
mod claim_hooks;
mod claim_key;
mod claim_outcome;
mod claim_queue;
mod claim_record;
mod claim_shard;
mod claim_state;
mod claim_storage;
mod claim_store;
mod stored_answer;
mod waiting_change;

pub use claim_config::ClaimConfig;
pub use claim_counts::ClaimCounts;
pub use claim_document::ClaimDocument;
pub use claim_hooks::ClaimHooks;
pub use claim_key::ClaimKey;
pub use claim_outcome::ClaimOutcome;
pub use claim_record::ClaimRecord;
pub use claim_state::ClaimState;
pub use claim_storage::ClaimStorage;
pub use claim_store::ClaimStore;
pub use stored_answer::StoredAnswer;
