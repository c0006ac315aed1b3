use http::{HeaderValue, Response, StatusCode};
use serde::Serialize;

use super::{ResponseBody, full_body};
use crate::error::{Error, ErrorKind};
use crate::id::RequestId;

/// The JSON body that reports a failed request to its caller.
#[derive(Debug, Serialize)]
pub struct ErrorResponse<'a> {
    error: ErrorFields<'a>,
}

#[derive(Debug, Serialize)]
struct ErrorFields<'a> {
    code: &'static str,
    message: String,
    detail: &'a str,
    /// Whether the request ran: `not_run`, `ran` or `unknown`.
    run_state: &'static str,
    request_id: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl<'a> ErrorResponse<'a> {
    /// Creates the body from the error of a request.
    #[must_use]
    pub fn from_error(error: &'a Error, request: RequestId) -> Self {
        let retry_after = error
            .retry_after()
            .map(|retry| u64::try_from(retry.as_millis()).unwrap_or(u64::MAX));
        Self {
            error: ErrorFields {
                code: error.kind().as_str(),
                message: error.kind().to_string(),
                detail: error.detail(),
                run_state: error.run_state().as_str(),
                request_id: request.to_string(),
                retry_after_ms: retry_after,
            },
        }
    }

    /// Serializes the body as one line of JSON.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Builds the HTTP response, with the status code of `kind` and a `retry-after` header if the
    /// error has a retry time.
    #[must_use]
    pub fn to_response(&self, kind: ErrorKind) -> Response<ResponseBody> {
        let mut response = Response::new(full_body(self.to_json()));
        *response.status_mut() = status(kind);
        let headers = response.headers_mut();
        headers.insert("content-type", HeaderValue::from_static("application/json"));
        if let Some(retry_after) = self.error.retry_after_ms {
            // The header has whole seconds; rounding down would cause retries that come too early.
            headers.insert(
                "retry-after",
                HeaderValue::from(retry_after.div_ceil(1_000)),
            );
        }
        response
    }
}

const fn status(kind: ErrorKind) -> StatusCode {
    match kind {
        ErrorKind::BadRequest => StatusCode::BAD_REQUEST,
        ErrorKind::NotFound => StatusCode::NOT_FOUND,
        ErrorKind::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        ErrorKind::Overloaded => StatusCode::TOO_MANY_REQUESTS,
        ErrorKind::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        ErrorKind::Upstream | ErrorKind::Restarted | ErrorKind::Truncated => {
            StatusCode::BAD_GATEWAY
        }
        ErrorKind::Quarantined | ErrorKind::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
        ErrorKind::InProgress | ErrorKind::Conflict => StatusCode::CONFLICT,
        ErrorKind::Unavailable
        | ErrorKind::Platform
        | ErrorKind::Peer
        | ErrorKind::ShuttingDown => StatusCode::SERVICE_UNAVAILABLE,
        ErrorKind::Protocol
        | ErrorKind::Table
        | ErrorKind::Settings
        | ErrorKind::Fenced
        | ErrorKind::Internal => StatusCode::INTERNAL_SERVER_ERROR,
    }
}
