use std::time::Duration;

use http::HeaderMap;
use http::header::{
    CONNECTION, CONTENT_LENGTH, HeaderName, HeaderValue, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION,
    TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

use super::{HeaderNames, ModelRef};
use crate::error::{Error, ErrorKind, Result};

/// The values of the deployment's headers in a request.
#[derive(Debug, Clone)]
pub struct ForwardHead {
    /// The id of the caller's attempt; empty if the caller sends none.
    pub attempt: String,
    /// The time that the caller waits for the response, or `None` if it does not state it.
    pub deadline: Option<Duration>,
    /// The requested model, or `None` for a plain service.
    pub model: Option<ModelRef>,
    /// Number of prompt tokens; zero if not stated.
    pub prompt_tokens: u32,
    /// Maximum number of output tokens; zero if not stated.
    pub output_tokens: u32,
    has_token_counts: bool,
}

/// Upper bound for the deadline of a caller; longer ones would overflow timers.
const MAX_DEADLINE: Duration = Duration::from_hours(24);

impl ForwardHead {
    /// Parses the headers of a request.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::BadRequest`] if a header is malformed.
    pub fn from_headers(headers: &HeaderMap, names: &HeaderNames) -> Result<Self> {
        let text = |name: &HeaderName| -> Result<Option<&str>> {
            let Some(value) = headers.get(name) else {
                return Ok(None);
            };
            value
                .to_str()
                .map(Some)
                .map_err(|error| bad_header(name, &error.to_string()))
        };
        let deadline = match text(&names.deadline_ms)? {
            None => None,
            Some(digits) => {
                let millis: u64 = digits
                    .trim()
                    .parse()
                    .map_err(|_error| bad_header(&names.deadline_ms, "give whole milliseconds"))?;
                Some(Duration::from_millis(millis).min(MAX_DEADLINE))
            }
        };
        let model = text(&names.model)?.map(ModelRef::from_text);
        if model.as_ref().is_some_and(|model| model.model.is_empty()) {
            return Err(bad_header(&names.model, "name a model"));
        }
        let (prompt_tokens, output_tokens) = match text(&names.token_counts)? {
            None => (0, 0),
            Some(counts) => parse_counts(counts)
                .ok_or_else(|| bad_header(&names.token_counts, "give two whole numbers"))?,
        };
        Ok(Self {
            attempt: text(&names.attempt)?.unwrap_or_default().to_owned(),
            deadline,
            model,
            prompt_tokens,
            output_tokens,
            has_token_counts: headers.contains_key(&names.token_counts),
        })
    }

    /// Returns the prompt tokens and the maximum number of output tokens, or `None` if they are not
    /// stated.
    #[must_use]
    pub fn token_counts(&self) -> Option<(u32, u32)> {
        self.has_token_counts
            .then_some((self.prompt_tokens, self.output_tokens))
    }
}

fn parse_counts(counts: &str) -> Option<(u32, u32)> {
    let (prompt, output) = counts.split_once(',')?;
    Some((prompt.trim().parse().ok()?, output.trim().parse().ok()?))
}

fn bad_header(name: &HeaderName, remedy: &str) -> Error {
    Error::new(ErrorKind::BadRequest, format!("header {name}: {remedy}"))
}

/// Removes the hop-by-hop headers, including those that `Connection` lists.
pub(super) fn strip_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    let keep_alive = HeaderName::from_static("keep-alive");
    let proxy_connection = HeaderName::from_static("proxy-connection");
    for name in [
        CONNECTION,
        keep_alive,
        proxy_connection,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
        CONTENT_LENGTH,
    ] {
        headers.remove(name);
    }
}

/// Formats a duration as whole milliseconds, rounded down.
pub(super) fn millis_value(duration: Duration) -> HeaderValue {
    HeaderValue::from(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
}
