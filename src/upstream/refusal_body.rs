use http::StatusCode;
use serde::Deserialize;

use crate::error::ErrorKind;

/// The JSON body of a refusal by an engine.
#[derive(Debug, Default, Deserialize)]
pub(super) struct RefusalBody {
    /// A stable code.
    #[serde(default)]
    error_code: Option<String>,
    /// What happened.
    #[serde(default)]
    message: String,
}

impl RefusalBody {
    /// Reads a refusal; a body of another form gives an empty one.
    pub(super) fn from_body(body: &[u8]) -> Self {
        serde_json::from_slice(body).unwrap_or_default()
    }

    /// Returns the kind of error that a refusal with `status` amounts to.
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

    /// Describes the refusal.
    pub(super) fn describe(&self, what: &str, status: StatusCode) -> String {
        format!("{what}: status {status}: {}", self.message)
    }
}
