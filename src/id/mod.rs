//! Identifiers of instances, failure domains, upstreams, adapters, callers, requests and attempts,
//! and the owner epochs and request ranks that are sent with them.

mod adapter_ref;
mod attempt_id;
mod caller_id;
mod domain_id;
mod engine_name;
mod instance_id;
mod owner_epoch;
mod request_id;
mod request_rank;
mod upstream_id;

pub use adapter_ref::AdapterRef;
pub use attempt_id::AttemptId;
pub use caller_id::CallerId;
pub use domain_id::DomainId;
pub use engine_name::EngineName;
pub use instance_id::InstanceId;
pub use owner_epoch::OwnerEpoch;
pub use request_id::RequestId;
pub use request_rank::RequestRank;
pub use upstream_id::UpstreamId;
