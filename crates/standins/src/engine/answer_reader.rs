use std::fmt::Write as _;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use comfreychute::id::{AttemptId, EngineName};
use comfreychute::upstream::EventWire;
use tokio::sync::watch;
use tokio::time::timeout;

use super::TokenText;
use super::answer_fault::AnswerFault;
use super::engine_core::EngineCore;
use super::run_phase::RunPhase;
use super::run_progress::RunProgress;
use crate::server::CutConnection;

/// Time without a token after which a comment line shows that the connection works.
const COMMENT_INTERVAL: Duration = Duration::from_millis(250);

/// Streams the events of one run to one connection.
#[derive(Debug)]
pub(super) struct AnswerReader {
    core: Arc<EngineCore>,
    connection: u64,
    attempt: AttemptId,
    next: u64,
    cuts: u64,
    fault: AnswerFault,
    source: Option<RunSource>,
    is_done: bool,
}

#[derive(Debug)]
struct RunSource {
    attempt: AttemptId,
    name: EngineName,
    text: TokenText,
    tokens: u64,
    progress: watch::Receiver<RunProgress>,
}

impl AnswerReader {
    pub(super) fn new(
        core: Arc<EngineCore>,
        connection: u64,
        attempt: AttemptId,
        next: u64,
        cuts: u64,
        fault: AnswerFault,
    ) -> Self {
        Self {
            core,
            connection,
            attempt,
            next,
            cuts,
            fault,
            source: None,
            is_done: false,
        }
    }

    /// Waits for the next part of the stream; `None` at its end.
    pub(super) async fn next(&mut self) -> Option<Result<Bytes, CutConnection>> {
        if self.is_done {
            return None;
        }
        loop {
            self.core.gate.pass(self.connection).await;
            if !self.refresh_source() {
                return self.end_with_cut().await;
            }
            let source = self.source.as_mut()?;
            let progress = *source.progress.borrow_and_update();
            let cuts_now = source.attempt == self.attempt && progress.cuts > self.cuts;
            if cuts_now {
                return self.end_with_cut().await;
            }
            let is_halved = matches!(self.fault, AnswerFault::Truncate | AnswerFault::Cut);
            let limit = if is_halved {
                source.tokens / 2
            } else {
                source.tokens
            };
            let until = progress.produced.min(limit);
            if self.next < until {
                let part = self.write_tokens(until);
                return Some(Ok(part));
            }
            if is_halved && progress.produced >= limit {
                if self.fault == AnswerFault::Truncate {
                    return None;
                }
                return self.end_with_cut().await;
            }
            match progress.phase {
                RunPhase::Finished => {
                    self.is_done = true;
                    return Some(Ok(self.write_end()));
                }
                RunPhase::Cancelled => return self.end_with_cut().await,
                RunPhase::Waiting | RunPhase::Running => {}
            }
            match timeout(COMMENT_INTERVAL, source.progress.changed()).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return self.end_with_cut().await,
                Err(_) => return Some(Ok(Bytes::from_static(b": waiting\n\n"))),
            }
        }
    }

    /// Looks up the run that serves this reader; `false` if it is gone.
    fn refresh_source(&mut self) -> bool {
        let Some((attempt, name, prompt, tokens, progress)) = self.core.source(self.attempt) else {
            return false;
        };
        if self
            .source
            .as_ref()
            .is_none_or(|source| source.attempt != attempt)
        {
            self.source = Some(RunSource {
                attempt,
                text: TokenText::new(name.adapter(), prompt),
                name,
                tokens,
                progress,
            });
        }
        true
    }

    /// Lets the server send what was written before the connection is cut.
    async fn end_with_cut(&mut self) -> Option<Result<Bytes, CutConnection>> {
        self.is_done = true;
        tokio::task::yield_now().await;
        Some(Err(CutConnection))
    }

    fn write_tokens(&mut self, until: u64) -> Bytes {
        let mut part = String::new();
        let Some(source) = &self.source else {
            return Bytes::new();
        };
        for token in self.next..until {
            self.write_event(&mut part, source, token, source.text.at(token), None);
        }
        self.next = until;
        part.into()
    }

    fn write_end(&self) -> Bytes {
        let mut part = String::new();
        if let Some(source) = &self.source {
            let finish = Some("length".to_owned());
            self.write_event(&mut part, source, source.tokens, String::new(), finish);
        }
        part.push_str("data: [DONE]\n\n");
        part.into()
    }

    fn write_event(
        &self,
        part: &mut String,
        source: &RunSource,
        token: u64,
        text: String,
        finish: Option<String>,
    ) {
        let event = EventWire {
            attempt: source.attempt,
            adapter: source.name.adapter().name().to_owned(),
            version: source.name.adapter().version().to_owned(),
            token,
            text,
            finish,
        };
        let event = serde_json::to_string(&event).expect("an event has only plain fields");
        let copies = if self.fault == AnswerFault::Duplicate {
            2
        } else {
            1
        };
        for _ in 0..copies {
            write!(part, "data: {event}\n\n").expect("writing to a string can't fail");
        }
    }
}

impl Drop for AnswerReader {
    fn drop(&mut self) {
        self.core.detach(self.attempt);
    }
}
