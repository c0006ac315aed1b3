use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::Method;
use serde_json::Value;

use crate::fixture::fetch;

/// The answer to a completion that was asked for in one piece.
#[derive(Debug)]
pub struct TypedAnswer {
    pub status: u16,
    pub body: Value,
    pub elapsed: Duration,
}

impl TypedAnswer {
    /// Sends a completion and reads its answer; every answer must be JSON.
    pub async fn fetch(address: SocketAddr, rank: &str, deadline_ms: u64, body: &str) -> Self {
        let deadline = deadline_ms.to_string();
        let headers = [("x-deadline-ms", deadline.as_str()), ("x-rank", rank)];
        let start = Instant::now();
        let (status, text) = fetch(Method::POST, address, "/v1/completions", &headers, body).await;
        let body = serde_json::from_str(&text)
            .unwrap_or_else(|error| panic!("status {status}, {error}: {text}"));
        Self {
            status,
            body,
            elapsed: start.elapsed(),
        }
    }

    /// Returns a field of the error as text; panics if the refusal lacks it.
    pub fn error(&self, field: &str) -> &str {
        let text = self.body["error"][field].as_str();
        text.unwrap_or_else(|| panic!("a refusal has {field}: {self:?}"))
    }

    /// Checks the fields of a refusal and compares its run state with the attempts that the
    /// upstreams saw.
    pub fn check_refusal(&self, attempts: &[String]) {
        assert!(!self.error("code").is_empty());
        let (state, request) = (self.error("run_state"), self.error("request_id"));
        assert!(["not_run", "ran", "unknown"].contains(&state), "{self:?}");
        let seen = attempts.iter().any(|attempt| attempt.contains(request));
        assert!(
            state != "not_run" || !seen,
            "refused as not run, but it reached an upstream: {self:?}"
        );
    }
}
