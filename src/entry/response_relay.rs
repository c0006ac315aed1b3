use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderValue, Response};
use tokio::sync::mpsc;

use super::event_body::EventBody;
use super::model_call::{OpenedCall, is_retryable, open, try_spend_retry};
use super::{
    CompletionFormat, EntryContext, ErrorResponse, RequestGuard, ResponseBody, RoutedRequest,
    full_body,
};
use crate::error::{Error, ErrorKind, Result, RunState};
use crate::id::AttemptId;
use crate::peer::{CallChunk, chunk};
use crate::telemetry::{LogEvent, LogName, MetricName};

/// Maximum number of attempts to resume one response whose call was lost.
const MAX_RESUMES: u32 = 8;
/// Events buffered for a slow caller before the relay stops reading from the owner.
const EVENT_QUEUE_LEN: usize = 32;
/// Delay before a resumption, so that a change of owner can be received first.
const RESUME_DELAY: std::time::Duration = std::time::Duration::from_millis(100);

/// A validated step of a response.
enum RelayStep {
    Token(String),
    End { finish: String, tokens: u64 },
}

/// Relays the response to one request and validates each chunk against the request.
pub(super) struct ResponseRelay {
    context: Arc<EntryContext>,
    /// Counts the request as in progress until the response ends.
    guard: RequestGuard,
    routed: RoutedRequest,
    opened: OpenedCall,
    format: CompletionFormat,
    adapter: String,
    next_token: u64,
    resumes: u32,
    /// Whether the single rerun that is not charged to the retry budget was used; it is allowed
    /// after a restart of the engine.
    has_used_free_restart: bool,
    is_ended: bool,
}

impl ResponseRelay {
    pub fn new(
        context: Arc<EntryContext>,
        guard: RequestGuard,
        routed: RoutedRequest,
        opened: OpenedCall,
        format: CompletionFormat,
    ) -> Self {
        let adapter = routed
            .adapter
            .as_ref()
            .map(ToString::to_string)
            .unwrap_or_default();
        Self {
            context,
            guard,
            routed,
            opened,
            format,
            adapter,
            next_token: 0,
            resumes: 0,
            has_used_free_restart: false,
            is_ended: false,
        }
    }

    /// Streams the response as server-sent events; a failure is sent as an `error` event without an
    /// end marker.
    pub fn into_stream(mut self) -> Response<ResponseBody> {
        let (sender, receiver) = mpsc::channel(EVENT_QUEUE_LEN);
        let mut response = Response::new(ResponseBody::Right(EventBody::new(receiver)));
        self.add_headers(&mut response, "text/event-stream");
        tokio::spawn(async move {
            while !self.is_ended {
                // The channel closes once the caller disconnects; dropping the relay then cancels
                // the call.
                let event = tokio::select! {
                    event = self.next_event() => event,
                    () = sender.closed() => return,
                };
                if sender.send(Bytes::from(event)).await.is_err() {
                    return;
                }
            }
        });
        response
    }

    /// Waits for the next step and reruns a failed request as long as no token was delivered.
    async fn next_or_restart(&mut self) -> Result<RelayStep> {
        loop {
            match self.next().await {
                Err(error) if self.next_token == 0 => self.restart(error).await?,
                step => return step,
            }
        }
    }

    async fn next_event(&mut self) -> String {
        match self.next_or_restart().await {
            Ok(RelayStep::Token(text)) => self.format.token_event(&self.adapter, &text),
            Ok(RelayStep::End { finish, .. }) => {
                self.is_ended = true;
                self.format.end_events(&self.adapter, &finish)
            }
            Err(error) => {
                self.is_ended = true;
                self.log_failure(&error);
                let refusal = ErrorResponse::from_error(&error, self.routed.request);
                format!("event: error\ndata: {}\n\n", refusal.to_json())
            }
        }
    }

    /// Collects the complete response.
    ///
    /// # Errors
    ///
    /// Returns the error of the last attempt; a partial response is never delivered.
    pub async fn into_full_response(mut self) -> Result<Response<ResponseBody>> {
        let mut text = String::new();
        let (finish, tokens) = loop {
            match self.next().await {
                Ok(RelayStep::Token(token)) => text.push_str(&token),
                Ok(RelayStep::End { finish, tokens }) => break (finish, tokens),
                Err(error) => {
                    if let Err(error) = self.restart(error).await {
                        self.log_failure(&error);
                        return Err(error);
                    }
                    text.clear();
                }
            }
        };
        let answer = self
            .format
            .full_response(&self.adapter, &text, &finish, tokens);
        let mut response = Response::new(full_body(answer));
        self.add_headers(&mut response, "application/json");
        drop(self.guard);
        Ok(response)
    }

    /// Reruns the request from the start; allowed only while no token was delivered.
    ///
    /// The retry budget protects failing upstreams from additional load. One rerun after a restart
    /// of the engine is not charged to it: a restart interrupts many harmless requests at once, and
    /// the engine is available again. Requests that crash engines are limited by the owners.
    ///
    /// # Errors
    ///
    /// Returns `error` if no rerun is allowed, and the error of the rerun if it does not start.
    async fn restart(&mut self, error: Error) -> Result<()> {
        let is_free = error.kind() == ErrorKind::Restarted && !self.has_used_free_restart;
        let may_restart = error.run_state() == RunState::Unknown
            && is_retryable(error.kind())
            && self.context.clock.now() < self.routed.deadline
            && (is_free || try_spend_retry(&self.context));
        if !may_restart {
            return Err(error);
        }
        self.has_used_free_restart |= is_free;
        let attempt = self.opened.attempt;
        self.opened = open(&self.context, &self.routed, attempt + 1)
            .await
            .map_err(|refusal| refusal.with_run_state(RunState::Unknown))?;
        self.next_token = 0;
        Ok(())
    }

    async fn next(&mut self) -> Result<RelayStep> {
        loop {
            let time_left = self
                .routed
                .deadline
                .saturating_sub(self.context.clock.now());
            let chunk = match tokio::time::timeout(time_left, self.opened.events.next()).await {
                Ok(Ok(chunk)) => chunk,
                Ok(Err(error)) if error.kind() == ErrorKind::Peer => {
                    self.resume(error).await?;
                    continue;
                }
                Ok(Err(error)) => return Err(error),
                Err(_) => {
                    return Err(Error::new(
                        ErrorKind::DeadlineExceeded,
                        "the answer was not complete at the deadline",
                    )
                    .with_run_state(RunState::Ran));
                }
            };
            if let Some(step) = self.validate(chunk)? {
                return Ok(step);
            }
        }
    }

    /// Validates a chunk against the request; returns `None` if it carries nothing to deliver.
    fn validate(&mut self, chunk: CallChunk) -> Result<Option<RelayStep>> {
        match chunk.body {
            Some(chunk::Body::Token(token)) => {
                let attempt = AttemptId::new(self.routed.request, self.opened.attempt);
                if token.attempt != attempt.to_string() {
                    LogEvent::new(LogName::AnswerMismatch)
                        .with("request", self.routed.request)
                        .with("attempt", &token.attempt)
                        .with("upstream", &self.opened.upstream)
                        .send();
                    return Ok(None);
                }
                if token.adapter != self.adapter {
                    let detail = format!(
                        "upstream {} answered with adapter {}",
                        self.opened.upstream, token.adapter
                    );
                    return Err(
                        Error::new(ErrorKind::Upstream, detail).with_run_state(RunState::Ran)
                    );
                }
                if token.token < self.next_token {
                    return Ok(None);
                }
                if token.token > self.next_token {
                    return Err(truncated("a part of the answer is missing"));
                }
                if self.next_token == 0 {
                    let (pool, rank) = (&self.routed.pool, self.routed.rank.as_str());
                    let waited = self
                        .context
                        .clock
                        .now()
                        .saturating_sub(self.routed.accepted_at);
                    let metrics = &self.context.metrics;
                    metrics.record(MetricName::FirstToken, pool, rank, waited);
                }
                self.next_token += 1;
                Ok(Some(RelayStep::Token(token.text)))
            }
            Some(chunk::Body::End(end)) if end.tokens == self.next_token => {
                Ok(Some(RelayStep::End {
                    finish: end.finish,
                    tokens: end.tokens,
                }))
            }
            Some(chunk::Body::End(_)) => Err(truncated("the end of the answer is missing")),
            Some(chunk::Body::Refused(refusal)) => Err(refusal.to_error()),
            Some(chunk::Body::Started(started)) => {
                self.opened.engine_name = started.engine_name;
                Ok(None)
            }
            Some(chunk::Body::Plain(_)) | None => Err(Error::new(
                ErrorKind::Protocol,
                "unexpected part of an answer",
            )
            .with_run_state(RunState::Ran)),
        }
    }

    /// Requests the rest of the response from the current owner in a new call.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Truncated`] if the deadline or the limit of resumptions is reached.
    async fn resume(&mut self, error: Error) -> Result<()> {
        loop {
            self.resumes += 1;
            if self.resumes > MAX_RESUMES
                || self.context.clock.now() + RESUME_DELAY >= self.routed.deadline
            {
                return Err(truncated(error.detail()));
            }
            tokio::time::sleep(RESUME_DELAY).await;
            let opened = self
                .context
                .router
                .open(
                    &self.routed,
                    &self.opened.upstream,
                    self.opened.attempt,
                    self.next_token,
                )
                .await;
            if let Ok(events) = opened {
                self.opened.events = events;
                return Ok(());
            }
        }
    }

    fn log_failure(&self, error: &Error) {
        LogEvent::new(LogName::RequestFailed)
            .with("request", self.routed.request)
            .with("caller", &self.routed.caller)
            .with("upstream", &self.opened.upstream)
            .with("reason", error)
            .send();
    }

    fn add_headers(&self, response: &mut Response<ResponseBody>, content_type: &'static str) {
        let headers = response.headers_mut();
        headers.insert("content-type", HeaderValue::from_static(content_type));
        let fields = [
            ("x-adapter", self.adapter.clone()),
            ("x-upstream", self.opened.upstream.to_string()),
        ];
        for (name, value) in fields {
            if let Ok(value) = HeaderValue::from_str(&value) {
                headers.insert(name, value);
            }
        }
    }
}

fn truncated(detail: &str) -> Error {
    Error::new(ErrorKind::Truncated, detail).with_run_state(RunState::Ran)
}
