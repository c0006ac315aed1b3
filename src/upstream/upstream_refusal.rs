use http::StatusCode;
use serde::Deserialize;

use crate::error::ErrorKind;

/// The JSON body of a refusal by an engine.
#[derive(Debug, Default, Deserialize)]
pub(super) struct UpstreamRefusal {
    /// A stable code, such as `fenced`.
    #[serde(default)]
    error_code: Option<String>,
    /// The engine's description of the failure.
    #[serde(default)]
    message: String,
}

impl UpstreamRefusal {
    /// Parses a refusal; if the body has another form, code and message are left empty.
    pub(super) fn from_body(body: &[u8]) -> Self {
        serde_json::from_slice(body).unwrap_or_default()
    }

    /// Returns the error kind of a refusal with `status`.
    pub(super) fn kind(&self, status: StatusCode) -> ErrorKind {
        match (status, self.error_code.as_deref()) {
            (_, Some("fenced")) => ErrorKind::Fenced,
            (StatusCode::BAD_REQUEST, _) => ErrorKind::BadRequest,
            (StatusCode::NOT_FOUND, _) => ErrorKind::NotFound,
            (StatusCode::CONFLICT, _) => ErrorKind::Conflict,
            (StatusCode::TOO_MANY_REQUESTS, _) => ErrorKind::Overloaded,
            (StatusCode::SERVICE_UNAVAILABLE, _) => ErrorKind::Unavailable,
            _ => ErrorKind::Upstream,
        }
    }

    /// Formats the error detail; `what` names the refused call.
    pub(super) fn describe(&self, what: &str, status: StatusCode) -> String {
        format!("{what}: status {status}: {}", self.message)
    }
}
