use std::time::Duration;

use http::header::{HeaderMap, RETRY_AFTER};
use http::{HeaderValue, StatusCode};

use super::HeaderNames;

/// What an upstream states in a response about the requests that it wants from now on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UpstreamNotice {
    /// Whether the upstream is leaving.
    pub is_leaving: bool,
    /// The time for which the upstream wants no requests from this instance.
    pub pause: Option<Duration>,
    /// Whether the stated time is malformed, contradictory or cut to [`UpstreamNotice::MAX_PAUSE`].
    pub is_pause_doubtful: bool,
}

impl UpstreamNotice {
    /// Upper bound for the time without requests, so that one wrong figure does not take an upstream
    /// out of service for good.
    pub const MAX_PAUSE: Duration = Duration::from_mins(1);

    /// Reads the notice from the status and the headers of a response.
    ///
    /// Only a 503 asks for a time. A time that is no number of seconds, is negative or is stated more
    /// than once with different values is ignored.
    #[must_use]
    pub fn from_response(status: StatusCode, headers: &HeaderMap, names: &HeaderNames) -> Self {
        let is_leaving = headers
            .get(&names.leaving)
            .is_some_and(|value| value.as_bytes() == b"1");
        let mut notice = Self {
            is_leaving,
            ..Self::default()
        };
        let mut values = headers.get_all(RETRY_AFTER).iter();
        let Some(first) = values
            .next()
            .filter(|_| status == StatusCode::SERVICE_UNAVAILABLE)
        else {
            return notice;
        };
        let stated = parse_seconds(first).filter(|_| values.all(|value| value == first));
        notice.pause = stated.map(|pause| pause.min(Self::MAX_PAUSE));
        notice.is_pause_doubtful = stated.is_none_or(|pause| pause > Self::MAX_PAUSE);
        notice
    }

    /// Returns whether the response states nothing of this kind.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// Parses whole or fractional seconds; saturates where a duration would overflow.
fn parse_seconds(value: &HeaderValue) -> Option<Duration> {
    let seconds: f64 = value.to_str().ok()?.trim().parse().ok()?;
    (seconds >= 0.0).then(|| Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}
