use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use http::Response;
use http::StatusCode;
use http::header::{CONTENT_LENGTH, HeaderMap, HeaderValue};
use tokio::time::Instant;

use super::local_response::{LocalResponse, reject, to_response};
use super::request_identity::request_host;
use super::upstream_attempt::RequestParts;
use super::{
    ConnectionBody, ForwardRoute, ForwardService, ModelRef, PromptParts, ReplyBody, RouteSet,
    RunUpstreams, UpstreamEntry, part_text,
};
use crate::allowance::AllowanceGrant;
use crate::id::UpstreamId;
use crate::policy::UpstreamOption;
use crate::telemetry::{LogEvent, LogName};
use crate::workspace::{KeyDigest, WorkspaceEntry};

/// The state of one request while it is forwarded.
#[derive(Debug)]
pub(super) struct ForwardRun {
    pub(super) route: Arc<ForwardRoute>,
    pub(super) service: Arc<ForwardService>,
    /// The workspace whose request it is, or `None` if the route needs no key.
    pub(super) workspace: Option<Arc<WorkspaceEntry>>,
    /// The digest of the key of `workspace`, by which a withdrawal of the key is noticed.
    pub(super) key: Option<KeyDigest>,
    /// What the request holds of the allowance of its workspace.
    pub(super) allowance: Option<AllowanceGrant>,
    pub(super) parts: RequestParts,
    /// The keys to which crashes of upstreams are attributed.
    pub(super) prompt: Arc<PromptParts>,
    /// Whether the request may be sent once although it or a part of its prompt is refused.
    pub(super) is_trial: bool,
    /// Whether the request was sent before the answer to the one before it on its connection.
    pub(super) is_sent_ahead: bool,
    pub(super) deadline: Instant,
    pub(super) arrived: Instant,
    /// Upstreams at which an attempt was made, in order.
    pub(super) tried: Vec<UpstreamId>,
    /// Upstreams that may have run the request; the route limits their number.
    pub(super) run_upstreams: RunUpstreams,
    pub(super) attempts: u32,
    /// When the last attempt began.
    pub(super) sent_at: Instant,
    /// The load of its upstream when the last attempt began; `None` if it does not state its load.
    pub(super) sent_option: Option<UpstreamOption>,
    /// Total time spent waiting for adapter loads.
    pub(super) load_wait: Duration,
    /// Total time for which the request was held so that it would not delay running streams.
    pub(super) hold_wait: Duration,
    /// Whether the request was sent to an upstream that has not stated that it did not run it.
    pub(super) was_sent: Arc<AtomicBool>,
    /// Whether the caller has got a part of the response, and a further upstream goes on with it.
    pub(super) is_resuming: bool,
}

/// The upstream chosen for a request, and whether the requested adapter is resident there.
#[derive(Debug)]
pub(super) struct ChosenUpstream {
    pub(super) entry: Arc<UpstreamEntry>,
    pub(super) is_resident: bool,
}

/// Value of a request that is served on time, in thousandths, indexed by rank; rank 0 is the most
/// urgent.
pub(super) const RANK_VALUES: [u32; 3] = [2000, 1500, 600];

impl ForwardRun {
    /// Logs how the time was spent for a response that missed the latency target.
    pub(super) fn log_late(&self, body: &ConnectionBody) {
        let model = self.parts.model.as_ref().map(ModelRef::to_string);
        LogEvent::new(LogName::RequestLate)
            .with("attempt", &self.parts.attempt)
            .with("route", &self.route.name)
            .with("model", model.unwrap_or_default())
            .with("upstream", body.upstream())
            .with_count("target_ms", millis(self.route.target_latency))
            .with_count("head_ms", millis(self.arrived.elapsed()))
            .with_count("load_wait_ms", millis(self.load_wait))
            .with_count("hold_ms", millis(self.hold_wait))
            .with_count("attempts", u64::from(self.attempts))
            .with_count("prompt_tokens", u64::from(self.parts.load.prompt_tokens))
            .send();
    }

    /// Logs at debug level that a response has started, so that successful requests can be traced
    /// by their id too.
    pub(super) fn log_forwarded(&self, status: StatusCode, upstream: &UpstreamId) {
        LogEvent::new(LogName::RequestFinished)
            .with("attempt", &self.parts.attempt)
            .with("route", &self.route.name)
            .with("upstream", upstream)
            .with_count("status", u64::from(status.as_u16()))
            .with_count("head_ms", millis(self.arrived.elapsed()))
            .with_count("load_wait_ms", millis(self.load_wait))
            .with_count("attempts", u64::from(self.attempts))
            .send();
    }

    /// Returns the time that an adapter load may take without missing the latency target.
    ///
    /// Prompt processing is assumed to run at 20 tokens per millisecond.
    pub(super) fn time_to_target(&self) -> Duration {
        let prompt = Duration::from_millis(u64::from(self.parts.load.prompt_tokens) / 20);
        self.route
            .target_latency
            .saturating_sub(self.arrived.elapsed())
            .saturating_sub(prompt)
    }

    /// Returns the rank of the request: that of its workspace, or else that of its route.
    pub(super) fn rank(&self) -> u8 {
        effective_rank(&self.route, self.workspace.as_deref())
    }

    pub(super) fn rank_tag(&self) -> &'static str {
        match self.rank() {
            0 => "rank_0",
            1 => "rank_1",
            2 => "rank_2",
            _ => "rank_3_and_beyond",
        }
    }

    pub(super) fn value(&self) -> u32 {
        let rank = usize::from(self.rank()).min(RANK_VALUES.len() - 1);
        RANK_VALUES[rank]
    }
}

/// Returns the rank of the requests of a workspace on a route.
pub(super) fn effective_rank(route: &ForwardRoute, workspace: Option<&WorkspaceEntry>) -> u8 {
    let stated = workspace.and_then(|workspace| workspace.rank);
    stated.unwrap_or(route.rank)
}

/// Logs a response that this instance generates itself, with its reason and the refused part of the
/// prompt if that is the reason, and builds the response.
pub(super) fn log_refusal(
    run: &ForwardRun,
    response: LocalResponse,
    part: Option<u64>,
) -> Response<ReplyBody> {
    let name = if response.status == StatusCode::SERVICE_UNAVAILABLE {
        LogName::RequestRefused
    } else {
        LogName::RequestFailed
    };
    let model = run.parts.model.as_ref().map(ModelRef::to_string);
    let mut event = LogEvent::new(name)
        .with("attempt", &run.parts.attempt)
        .with("route", &run.route.name)
        .with("model", model.unwrap_or_default())
        .with("reason", response.reason)
        .with("fingerprint", format!("{:016x}", run.prompt.request()))
        .with_count("status", u64::from(response.status.as_u16()))
        .with_count("attempts", u64::from(run.attempts))
        .with_count("held_ms", millis(run.arrived.elapsed()));
    if let Some(part) = part {
        event = event.with("part", part_text(part));
    }
    event.send();
    to_response(response)
}

/// Logs why a request was rejected before its route or content was known, and builds the response.
pub(super) fn log_early_refusal(
    attempt: Option<&HeaderValue>,
    response: LocalResponse,
) -> Response<ReplyBody> {
    // The caller controls this header; the log writer escapes it.
    let attempt = attempt.map_or_else(String::new, |value| {
        String::from_utf8_lossy(value.as_bytes()).into_owned()
    });
    LogEvent::new(LogName::RequestRefused)
        .with("attempt", attempt)
        .with("reason", response.reason)
        .with_count("status", u64::from(response.status.as_u16()))
        .send();
    to_response(response)
}

pub(super) fn find_route(
    routes: &RouteSet,
    head: &http::request::Parts,
) -> Result<Arc<ForwardRoute>, LocalResponse> {
    let host = request_host(head)
        .ok_or_else(|| reject(StatusCode::BAD_REQUEST, "the request names no host"))?;
    routes
        .find(host, head.uri.path())
        .cloned()
        .ok_or_else(|| reject(StatusCode::NOT_FOUND, "no route"))
}

pub(super) fn stated_length(headers: &HeaderMap) -> Option<usize> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

pub(super) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
