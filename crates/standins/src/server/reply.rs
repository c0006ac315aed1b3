use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use serde::Serialize;
use serde_json::json;

use super::AnswerBody;

/// Replies with a body that is known as a whole.
pub(crate) fn whole_reply(status: StatusCode, body: Bytes) -> Response<AnswerBody> {
    let body = Full::new(body).map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    response
}

/// Replies with a value as JSON.
pub(crate) fn json_reply<T: Serialize>(status: StatusCode, value: &T) -> Response<AnswerBody> {
    let (status, body) = match serde_json::to_vec(value) {
        Ok(body) => (status, body),
        Err(error) => (
            StatusCode::INTERNAL_SERVER_ERROR,
            error.to_string().into_bytes(),
        ),
    };
    let mut response = whole_reply(status, body.into());
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Replies with a refusal in the form that dropshot uses.
pub(crate) fn refusal(status: StatusCode, code: &str, message: &str) -> Response<AnswerBody> {
    json_reply(status, &json!({ "error_code": code, "message": message }))
}
