//! Policies for placement, adapter residency, scheduling, admission, load permits and API keys, free of I/O.
//!
//! The current time is passed in as a duration since the start of a clock, and randomness as a
//! random source or as drawn numbers. [`UpstreamScheduler`] combines [`RankQueue`],
//! [`ResidencyPolicy`] and [`AdmissionPolicy`] for one upstream. Entries use [`PlacementPolicy`],
//! and the permit holder uses [`PermitBucket`].

mod admission_policy;
mod allowance_bucket;
mod allowance_sums;
mod choice_weights;
mod crash_sighting;
mod even_replicas;
mod eviction_rule;
mod fair_clock;
mod key_check;
mod key_lease;
mod late_body;
mod live_suspect;
mod load_attempt;
mod load_bid;
mod load_correction;
mod load_estimate;
mod part_change;
mod part_record;
mod part_refusal;
mod part_suspects;
mod permit_bucket;
mod permit_config;
mod permit_grant;
mod place_share;
mod placement_candidate;
mod placement_policy;
mod placement_score;
mod popularity_counter;
mod queued_item;
mod rank_queue;
mod rate_estimate;
mod rate_sample;
mod refused_part;
mod residency_policy;
mod retry_budget;
mod return_point;
mod running_item;
mod schedule_action;
mod scheduler_admission;
mod scheduler_config;
mod scheduler_dispatch;
mod scheduler_loads;
mod scheduler_takeover;
mod service_rates;
mod shed_choice;
mod slot_state;
mod sound_parts;
mod suspect_list;
mod suspect_verdict;
mod upstream_choice;
mod upstream_scheduler;
mod upstream_standing;
mod waiting_group;
mod work_item;

pub use admission_policy::AdmissionPolicy;
pub use allowance_bucket::AllowanceBucket;
pub use allowance_sums::AllowanceSums;
pub use choice_weights::{draw_upstream, level_weights};
pub use crash_sighting::CrashSighting;
pub use even_replicas::{needs_even_replica, relieves_others};
pub use eviction_rule::EvictionRule;
pub use key_check::{KeyFault, MAX_KEY_BYTES, check_key, has_key_scheme};
pub use key_lease::KeyLease;
pub use late_body::has_stopped_sending;
pub use load_bid::LoadBid;
pub use load_correction::{KnownRequests, StatedRequests, corrected_requests, unseen_requests};
pub use load_estimate::LoadEstimate;
pub use part_change::PartChange;
pub use part_refusal::PartRefusal;
pub use part_suspects::PartSuspects;
pub use permit_bucket::PermitBucket;
pub use permit_config::PermitConfig;
pub use permit_grant::PermitGrant;
pub use place_share::may_take_place;
pub use placement_candidate::PlacementCandidate;
pub use placement_policy::PlacementPolicy;
pub use placement_score::placement_score;
pub use popularity_counter::PopularityCounter;
pub use queued_item::QueuedItem;
pub use rank_queue::RankQueue;
pub use rate_estimate::RateEstimate;
pub use rate_sample::RateSample;
pub use refused_part::RefusedPart;
pub use residency_policy::ResidencyPolicy;
pub use retry_budget::RetryBudget;
pub use return_point::return_point;
pub use schedule_action::ScheduleAction;
pub use scheduler_config::SchedulerConfig;
pub use service_rates::ServiceRates;
pub use shed_choice::{
    HolderPhase, MemoryHolder, STALL_TIME, choose_connection_shed, choose_memory_shed,
};
pub use slot_state::SlotState;
use sound_parts::SoundParts;
pub use suspect_list::SuspectList;
pub use suspect_verdict::SuspectVerdict;
pub use upstream_choice::{
    ChoiceDraws, UpstreamOption, choose_upstream, extra_replicas, sample_upstream,
};
pub use upstream_scheduler::UpstreamScheduler;
pub use upstream_standing::{StandingCause, StandingEnd, StandingVerdict, UpstreamStanding};
pub use work_item::WorkItem;
