//! The load generator: an open loop that sends requests at a fixed rate and measures the answers.

mod answer_check;
mod call_kind;
mod compare_summary;
mod latency_summary;
mod load_client;
mod load_plan;
mod load_recorder;
mod load_run;
mod load_settings;
mod load_summary;
mod planned_request;
mod rank_recorder;
mod rank_shares;
mod rank_summary;
mod request_outcome;
mod wire_fault;
mod zipf_choice;

pub use call_kind::CallKind;
pub use compare_summary::{AddedLatency, CompareSummary};
pub use latency_summary::LatencySummary;
pub use load_plan::LoadPlan;
pub use load_run::LoadRun;
pub use load_settings::LoadSettings;
pub use load_summary::LoadSummary;
pub use planned_request::PlannedRequest;
pub use rank_shares::RankShares;
pub use rank_summary::RankSummary;
pub use zipf_choice::ZipfChoice;
