use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;

use super::upstream_refusal::UpstreamRefusal;
use super::{AnswerStream, CacheEvent, EngineCall, EngineOrder, EngineStatus};
use crate::error::{Error, ErrorKind, Result, RunState};
use crate::id::{AttemptId, EngineName, OwnerEpoch};
use crate::transport::HttpTransport;

/// The header that carries the identifier of the attempt.
pub const ATTEMPT_HEADER: &str = "x-attempt";
/// The header that carries the name of the adapter at the engine.
pub const ADAPTER_HEADER: &str = "x-adapter";
/// The header that carries the epoch of the owner.
pub const EPOCH_HEADER: &str = "x-epoch";
/// The header that carries the rank of the request.
pub const RANK_HEADER: &str = "x-rank";

/// The maximum size of a status, a refusal or a batch of cache events.
const REPLY_LIMIT_BYTES: usize = 1 << 20;

/// Sends orders and completions to one engine.
#[derive(Debug, Clone)]
pub struct EngineClient {
    transport: HttpTransport,
}

impl EngineClient {
    /// Creates a client of the engine at `address`; `timeout` limits the wait for each response and
    /// for each chunk of a stream.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            transport: HttpTransport::new(address, timeout, ErrorKind::Unavailable),
        }
    }

    /// Reads the engine's status, including the adapters that it has loaded.
    ///
    /// # Errors
    ///
    /// Fails if the engine does not respond with a status.
    pub async fn status(&self) -> Result<EngineStatus> {
        let body = self.exchange(Method::GET, "/status", Bytes::new()).await?;
        self.parse("status", &body)
    }

    /// Loads an adapter; returns when it is ready, or at once if it is loaded already.
    ///
    /// A load that takes longer than the timeout continues at the engine, and a repeated order
    /// waits for the same load.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::Fenced`] if the epoch is outdated, with [`ErrorKind::Conflict`]
    /// if no slot is free, and with other kinds if the load failed or the engine did not respond.
    pub async fn load(&self, name: &EngineName, epoch: OwnerEpoch) -> Result<()> {
        self.order("/adapters/load", name, epoch).await
    }

    /// Evicts an adapter; succeeds if it is not loaded.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::Fenced`] if the epoch is outdated, and with other kinds if the
    /// engine did not respond.
    pub async fn evict(&self, name: &EngineName, epoch: OwnerEpoch) -> Result<()> {
        self.order("/adapters/evict", name, epoch).await
    }

    /// Dispatches a completion and returns the stream of its answer.
    ///
    /// # Errors
    ///
    /// The run state of the error is "not run" only if no connection was established. If the engine
    /// refuses the request, the run state is "unknown" and the kind states the reason.
    pub async fn complete(&self, call: &EngineCall) -> Result<AnswerStream> {
        let request = Request::builder()
            .method(Method::POST)
            .uri(self.transport.uri("/v1/completions")?)
            .header(CONTENT_TYPE, "application/json")
            .header(ATTEMPT_HEADER, call.attempt.to_string())
            .header(ADAPTER_HEADER, call.name.to_string())
            .header(EPOCH_HEADER, call.epoch.to_string())
            .header(RANK_HEADER, call.rank.as_str())
            .body(Full::new(call.body.clone()))
            .map_err(|error| self.transport.fail(&error.to_string(), RunState::NotRun))?;
        self.open("complete", call.attempt, 0, request).await
    }

    /// Resumes a stream that was interrupted or cancelled, starting with the token `from_token`.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::NotFound`] if the engine no longer has the answer.
    pub async fn resume(&self, attempt: AttemptId, from_token: u64) -> Result<AnswerStream> {
        let path = format!("/attempts/{attempt}/resume?from={from_token}");
        let request = self.request(Method::POST, &path, Bytes::new())?;
        self.open("resume", attempt, from_token, request).await
    }

    /// Cancels an attempt; also succeeds if the engine has no such attempt.
    ///
    /// # Errors
    ///
    /// Fails if the engine did not respond.
    pub async fn cancel(&self, attempt: AttemptId) -> Result<()> {
        let path = format!("/attempts/{attempt}/cancel");
        self.exchange(Method::POST, &path, Bytes::new()).await?;
        Ok(())
    }

    /// Reads the cache events with numbers above `after`.
    ///
    /// # Errors
    ///
    /// Fails if the engine did not respond with events.
    pub async fn cache_events(&self, after: u64) -> Result<Vec<CacheEvent>> {
        let path = format!("/cache-events?after={after}");
        let body = self.exchange(Method::GET, &path, Bytes::new()).await?;
        self.parse("cache events", &body)
    }

    async fn order(&self, path: &str, name: &EngineName, epoch: OwnerEpoch) -> Result<()> {
        let order = EngineOrder {
            name: name.clone(),
            epoch,
        };
        let body = serde_json::to_vec(&order)
            .map_err(|error| Error::new(ErrorKind::Internal, error.to_string()))?;
        self.exchange(Method::POST, path, body.into()).await?;
        Ok(())
    }

    async fn open(
        &self,
        what: &str,
        attempt: AttemptId,
        from_token: u64,
        request: Request<Full<Bytes>>,
    ) -> Result<AnswerStream> {
        let response = self
            .transport
            .send(request, self.transport.timeout())
            .await?;
        if response.status() != StatusCode::OK {
            return Err(self.refuse(what, response).await);
        }
        Ok(AnswerStream::new(
            self.transport.clone(),
            attempt,
            from_token,
            response.into_body(),
        ))
    }

    async fn exchange(&self, method: Method, path: &str, body: Bytes) -> Result<Bytes> {
        let request = self.request(method, path, body)?;
        let response = self
            .transport
            .send(request, self.transport.timeout())
            .await?;
        if !response.status().is_success() {
            return Err(self.refuse(path, response).await);
        }
        self.transport.read_body(response, REPLY_LIMIT_BYTES).await
    }

    fn request(&self, method: Method, path: &str, body: Bytes) -> Result<Request<Full<Bytes>>> {
        Request::builder()
            .method(method)
            .uri(self.transport.uri(path)?)
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| self.transport.fail(&error.to_string(), RunState::NotRun))
    }

    async fn refuse(&self, what: &str, response: Response<Incoming>) -> Error {
        let status = response.status();
        match self.transport.read_body(response, REPLY_LIMIT_BYTES).await {
            Ok(body) => {
                let refusal = UpstreamRefusal::from_body(&body);
                Error::new(refusal.kind(status), refusal.describe(what, status))
                    .with_run_state(RunState::Unknown)
            }
            Err(error) => error,
        }
    }

    fn parse<T: serde::de::DeserializeOwned>(&self, what: &str, body: &[u8]) -> Result<T> {
        serde_json::from_slice(body).map_err(|error| {
            self.transport
                .fail(&format!("{what}: {error}"), RunState::Unknown)
        })
    }
}
