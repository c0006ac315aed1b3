use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http::header::{CONNECTION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use http::{HeaderValue, Request};
use http_body_util::Full;

use super::{ATTEMPT_HEADER, PlainAnswer, PlainCall};
use crate::error::{ErrorKind, Result, RunState};
use crate::id::AttemptId;
use crate::transport::HttpTransport;

/// The maximum size of a response, which is held in memory as a whole.
const ANSWER_LIMIT_BYTES: usize = 16 << 20;

/// Sends calls to one plain service.
#[derive(Debug, Clone)]
pub struct PlainClient {
    transport: HttpTransport,
    /// Whether the service has stated the attempt in an answer.
    states_attempts: Arc<AtomicBool>,
}

impl PlainClient {
    /// Creates a client of the service at `address` that waits at most `timeout` for a response.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            transport: HttpTransport::new(address, timeout, ErrorKind::Unavailable),
            states_attempts: Arc::default(),
        }
    }

    /// Returns whether an answer may be one to `attempt`.
    ///
    /// A service need not state the attempt. Once it has done so, an answer without it may be a late
    /// copy of another one.
    #[must_use]
    pub fn is_answer_to(&self, answer: &PlainAnswer, attempt: AttemptId) -> bool {
        let Some(stated) = answer.headers.get(ATTEMPT_HEADER) else {
            return !self.states_attempts.load(Ordering::Acquire);
        };
        self.states_attempts.store(true, Ordering::Release);
        stated.as_bytes() == attempt.to_string().as_bytes()
    }

    /// Dispatches a call; a response with an error status counts as a success.
    ///
    /// # Errors
    ///
    /// The run state of the error is "not run" only if no connection was established, "ran" if the
    /// response began but its body was cut off, too long or late, and "unknown" otherwise.
    pub async fn call(&self, call: &PlainCall) -> Result<PlainAnswer> {
        let mut request = Request::new(Full::new(call.body.clone()));
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = self.transport.uri(&call.path)?;
        *request.headers_mut() = call.headers.clone();
        // These headers describe the caller's connection, not the one to the service.
        for name in [HOST, CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING] {
            request.headers_mut().remove(name);
        }
        let attempt = HeaderValue::from_str(&call.attempt.to_string())
            .map_err(|error| self.transport.fail(&error.to_string(), RunState::NotRun))?;
        request.headers_mut().insert(ATTEMPT_HEADER, attempt);
        let response = self
            .transport
            .send(request, self.transport.timeout())
            .await?;
        let (status, headers) = (response.status(), response.headers().clone());
        let body = self
            .transport
            .read_body(response, ANSWER_LIMIT_BYTES)
            .await
            .map_err(|error| error.with_run_state(RunState::Ran))?;
        Ok(PlainAnswer {
            status,
            headers,
            body,
        })
    }
}
