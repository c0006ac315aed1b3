use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use comfreychute::upstream::EventParser;
use http::header::CONTENT_TYPE;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::json;

use super::answer_check::AnswerCheck;
use super::request_outcome::RequestOutcome;
use super::wire_fault::WireFault;
use super::{CallKind, LoadSettings, PlannedRequest};

/// Bounds an answer that is read as a whole.
const ANSWER_LIMIT: usize = 16 << 20;

/// Sends planned requests and measures the answers.
#[derive(Debug, Clone)]
pub(super) struct LoadClient {
    client: Client<HttpConnector, Full<Bytes>>,
    kind: CallKind,
    path: String,
    model: String,
    tokens: u64,
    deadline: Option<Duration>,
    has_keys: bool,
    timeout: Duration,
    /// Tells the idempotency keys of this run from those of other runs.
    run: u64,
}

impl LoadClient {
    pub(super) fn new(settings: &LoadSettings) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
            kind: settings.kind,
            path: match settings.kind {
                CallKind::Completion => "/v1/completions".to_owned(),
                CallKind::Plain => settings.path.clone(),
            },
            model: settings.model.clone(),
            tokens: settings.max_tokens,
            deadline: settings.deadline,
            has_keys: settings.idempotency_keys,
            timeout: settings.timeout,
            run: rand::random(),
        }
    }

    /// Sends one request and waits for the end of its answer.
    pub(super) async fn send(
        &self,
        address: SocketAddr,
        request: &PlannedRequest,
    ) -> RequestOutcome {
        let mut outcome = RequestOutcome {
            first_token: None,
            end: Err("timeout".to_owned()),
            is_misattributed: false,
            is_altered: false,
        };
        let exchange = self.exchange(address, request, &mut outcome);
        if let Ok(end) = tokio::time::timeout(self.timeout, exchange).await {
            outcome.end = end;
        }
        outcome
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        request: &PlannedRequest,
        outcome: &mut RequestOutcome,
    ) -> Result<Duration, String> {
        let body = self.body(request);
        let message = self.message(address, request, body.clone())?;
        let start = Instant::now();
        let response = self.client.request(message).await.map_err(|error| {
            let code = if error.is_connect() {
                "not_connected"
            } else {
                "no_answer"
            };
            code.to_owned()
        })?;
        let status = response.status();
        let is_stream = response
            .headers()
            .get(CONTENT_TYPE)
            .is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"));
        if status == StatusCode::OK && is_stream {
            return self
                .read_stream(response.into_body(), request, start, outcome)
                .await;
        }
        let head = start.elapsed();
        let answer = Limited::new(response.into_body(), ANSWER_LIMIT)
            .collect()
            .await
            .ok()
            .ok_or("cut_off")?
            .to_bytes();
        if status != StatusCode::OK {
            return Err(
                WireFault::code(&answer).unwrap_or_else(|| format!("status_{}", status.as_u16()))
            );
        }
        let end = start.elapsed();
        match self.kind {
            CallKind::Plain => {
                outcome.first_token = Some(head);
                outcome.is_altered = answer != body;
            }
            CallKind::Completion => {
                outcome.first_token = Some(end);
                let mut check = AnswerCheck::new(request, self.tokens);
                check.push(&answer)?;
                outcome.is_misattributed = check.is_misattributed();
                outcome.is_altered = check.is_altered();
            }
        }
        Ok(end)
    }

    async fn read_stream(
        &self,
        mut body: Incoming,
        request: &PlannedRequest,
        start: Instant,
        outcome: &mut RequestOutcome,
    ) -> Result<Duration, String> {
        let mut parser = EventParser::default();
        let mut check = AnswerCheck::new(request, self.tokens);
        loop {
            let frame = body.frame().await.ok_or("truncated")?;
            if let Some(bytes) = frame.ok().ok_or("cut_off")?.data_ref() {
                parser.push(bytes);
            }
            while let Some(payload) = parser.next_payload() {
                if payload == "[DONE]" {
                    outcome.is_altered = check.is_altered();
                    return Ok(start.elapsed());
                }
                check.push(&payload)?;
                outcome.is_misattributed = check.is_misattributed();
                if outcome.first_token.is_none() && check.has_text() {
                    outcome.first_token = Some(start.elapsed());
                }
            }
            if parser.is_overlong() {
                return Err("overlong_event".to_owned());
            }
        }
    }

    fn body(&self, request: &PlannedRequest) -> Bytes {
        match self.kind {
            CallKind::Completion => {
                let body = json!({
                    "model": format!("{}/{}", self.model, request.adapter),
                    "prompt": request.prompt,
                    "max_tokens": self.tokens,
                    "stream": true,
                });
                body.to_string().into()
            }
            CallKind::Plain => request.prompt.clone().into(),
        }
    }

    fn message(
        &self,
        address: SocketAddr,
        request: &PlannedRequest,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, String> {
        let mut message = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}{}", self.path))
            .header(CONTENT_TYPE, "application/json")
            .header("x-rank", request.rank.as_str())
            .header("x-caller", "load");
        if let Some(deadline) = self.deadline {
            message = message.header("x-deadline-ms", deadline.as_millis().to_string());
        }
        if self.has_keys {
            let key = format!("{:x}-{}", self.run, request.number);
            message = message.header("idempotency-key", key);
        }
        message
            .body(Full::new(body))
            .map_err(|error| format!("bad_request: {error}"))
    }
}
