use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::event_parser::EventParser;
use super::{AnswerEvent, EventWire};
use crate::error::{Error, ErrorKind, Result, RunState};
use crate::id::AttemptId;
use crate::transport::HttpTransport;

/// Reads the events of one streamed answer of an engine.
///
/// Repeated events of the requested attempt are dropped, and a gap in their token indexes is an
/// error. Events of other attempts are returned, since the reader compares the attempt and the
/// adapter with its request. Dropping the stream closes the connection; the engine keeps the
/// answer, so that it can be resumed.
#[derive(Debug)]
pub struct AnswerStream {
    transport: HttpTransport,
    attempt: AttemptId,
    body: Incoming,
    parser: EventParser,
    next_token: u64,
    has_started: bool,
    is_done: bool,
}

impl AnswerStream {
    pub(super) fn new(
        transport: HttpTransport,
        attempt: AttemptId,
        from_token: u64,
        body: Incoming,
    ) -> Self {
        Self {
            transport,
            attempt,
            body,
            parser: EventParser::default(),
            next_token: from_token,
            has_started: from_token > 0,
            is_done: false,
        }
    }

    /// Returns the index of the first token that has not been read, where a resume starts.
    #[must_use]
    pub const fn next_token(&self) -> u64 {
        self.next_token
    }

    /// Reads the next event, or returns `None` after the end marker.
    ///
    /// An engine sends comment lines while a request waits, so a stream that delivers no bytes for
    /// the client's timeout counts as unresponsive.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::Truncated`] if the stream ends, is disconnected, stalls or skips a
    /// token before the end marker, and with [`ErrorKind::Upstream`] if an event is malformed or
    /// too long. The run state is "ran" once an event was read or if the stream was resumed after
    /// the first token, and "unknown" otherwise.
    pub async fn next(&mut self) -> Result<Option<AnswerEvent>> {
        if self.is_done {
            return Ok(None);
        }
        loop {
            while let Some(payload) = self.parser.next_payload() {
                if payload == "[DONE]" {
                    self.is_done = true;
                    return Ok(None);
                }
                let event = serde_json::from_slice::<EventWire>(&payload)
                    .map_err(|error| error.to_string())
                    .and_then(|event| event.into_event().map_err(|error| error.to_string()))
                    .map_err(|error| {
                        self.fail(ErrorKind::Upstream, &format!("malformed event: {error}"))
                    })?;
                self.has_started = true;
                if event.attempt != self.attempt {
                    return Ok(Some(event));
                }
                if event.token < self.next_token {
                    continue;
                }
                if event.token > self.next_token {
                    let detail = format!(
                        "token {} arrived where {} was due",
                        event.token, self.next_token
                    );
                    return Err(self.fail(ErrorKind::Truncated, &detail));
                }
                self.next_token += 1;
                return Ok(Some(event));
            }
            if self.parser.is_overlong() {
                return Err(self.fail(ErrorKind::Upstream, "an event exceeds 1 MiB"));
            }
            self.fill(self.transport.timeout()).await?;
        }
    }

    async fn fill(&mut self, wait: Duration) -> Result<()> {
        match tokio::time::timeout(wait, self.body.frame()).await {
            Ok(Some(Ok(frame))) => {
                if let Some(bytes) = frame.data_ref() {
                    self.parser.push(bytes);
                }
                Ok(())
            }
            Ok(Some(Err(error))) => {
                Err(self.fail(ErrorKind::Truncated, &format!("stream broken: {error}")))
            }
            Ok(None) => Err(self.fail(ErrorKind::Truncated, "stream ended without end marker")),
            Err(_) => {
                self.transport.reset_connections();
                Err(self.fail(ErrorKind::Truncated, &format!("stream silent for {wait:?}")))
            }
        }
    }

    fn fail(&self, kind: ErrorKind, detail: &str) -> Error {
        let run_state = if self.has_started {
            RunState::Ran
        } else {
            RunState::Unknown
        };
        Error::new(kind, format!("attempt {}: {detail}", self.attempt)).with_run_state(run_state)
    }
}
