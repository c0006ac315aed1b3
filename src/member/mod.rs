//! Membership: the live instances, from the platform's list and the links, and the residency that
//! owners report for their upstreams.

mod member_state;
mod member_view;
mod rendezvous;
mod residency_sender;
mod residency_view;
mod upstream_residency;

pub use member_view::MemberView;
pub use rendezvous::{rendezvous_pick, rendezvous_score};
pub use residency_sender::ResidencySender;
pub use residency_view::ResidencyView;
pub use upstream_residency::UpstreamResidency;
