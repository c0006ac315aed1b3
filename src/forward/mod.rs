//! The opaque ingress: requests are matched by host and path and forwarded unchanged.
//!
//! [`ForwardServer`] accepts connections of callers, [`RequestRunner`] forwards each request with
//! its retries, [`UpstreamPool`] holds connections to upstreams, and [`RelayBody`] relays event
//! streams. [`FleetState`] holds the configuration and the upstreams received from the platform,
//! and [`InFlightTracker`] the load that this instance and its peers have in flight. Header names
//! come from [`HeaderNames`], so that this module is independent of a deployment's wire format.

mod attempt_failure;
mod body_framing;
mod connection_body;
mod crash_detector;
mod crash_recorder;
mod engine_spec;
mod fleet_state;
mod forward_head;
mod forward_route;
mod forward_run;
mod forward_server;
mod forward_service;
mod forward_settings;
mod head_timeout_stream;
mod header_names;
mod in_flight_tracker;
mod load_figures;
mod local_response;
mod model_ref;
mod notice_recorder;
mod part_guard;
mod prompt_parts;
mod read_progress;
mod relay_body;
mod reply_body;
mod request_identity;
mod request_runner;
mod route_kind;
mod route_set;
mod run_upstreams;
mod runner_attempts;
mod runner_crashes;
mod runner_figures;
mod runner_notices;
mod runner_placement;
mod runner_shutdown;
mod runner_streams;
mod runner_versions;
mod shutdown_plan;
mod stated_load;
mod stream_end;
mod stream_hooks;
mod stream_splitter;
mod tracked_body;
mod upstream_attempt;
mod upstream_entry;
mod upstream_health;
mod upstream_notice;
mod upstream_pace;
mod upstream_pool;
mod upstream_response;

pub use attempt_failure::AttemptFailure;
pub use body_framing::BodyFraming;
pub use connection_body::ConnectionBody;
pub use crash_detector::CrashDetector;
use crash_recorder::CrashRecorder;
pub use engine_spec::{EngineSpec, ModelSpec};
pub use fleet_state::FleetState;
pub use forward_head::ForwardHead;
pub use forward_route::{ForwardRoute, WeightedService};
pub use forward_server::ForwardServer;
pub use forward_service::ForwardService;
pub use forward_settings::ForwardSettings;
pub use header_names::HeaderNames;
pub use in_flight_tracker::{InFlightLoad, InFlightTracker};
pub use load_figures::LoadFigures;
pub use model_ref::ModelRef;
pub use notice_recorder::NoticeRecorder;
pub use part_guard::{PartGuard, part_text};
pub use prompt_parts::PromptParts;
pub use relay_body::RelayBody;
pub use reply_body::ReplyBody;
pub use request_runner::RequestRunner;
pub use route_kind::RouteKind;
pub use route_set::{CallerLimits, RouteSet};
pub use run_upstreams::RunUpstreams;
pub use shutdown_plan::ShutdownPlan;
pub use stated_load::StatedLoad;
pub use stream_end::StreamEnd;
pub use stream_hooks::StreamHooks;
pub use stream_splitter::StreamSplitter;
use tracked_body::TrackedBody;
pub use upstream_entry::UpstreamEntry;
pub use upstream_health::{ScreenedUpstreams, UpstreamHealth};
pub use upstream_notice::UpstreamNotice;
pub use upstream_pace::{PaceEstimate, UpstreamPace};
pub use upstream_pool::UpstreamPool;
pub use upstream_response::UpstreamResponse;
