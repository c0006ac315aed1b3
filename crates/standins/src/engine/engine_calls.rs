use std::sync::Arc;

use bytes::Bytes;
use comfreychute::id::{AdapterRef, AttemptId, EngineName, RequestId, RequestRank};
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

use super::answer_fault::AnswerFault;
use super::answer_reader::AnswerReader;
use super::call_headers::CallHeaders;
use super::completion_body::CompletionBody;
use super::engine_core::EngineCore;
use super::engine_refusal::EngineRefusal;
use super::engine_run::EngineRun;
use super::engine_state::EngineState;
use super::run_phase::RunPhase;
use super::run_progress::RunProgress;
use crate::journal::JournalEntry;

/// Completions, resumes and cancels.
impl EngineCore {
    /// Accepts a completion and returns a reader of its answer.
    pub(super) fn complete(
        self: &Arc<Self>,
        connection: u64,
        headers: &CallHeaders,
        body: &Bytes,
    ) -> Result<AnswerReader, EngineRefusal> {
        let mut state = self.state();
        let accepted = self.accept(&mut state, headers, body);
        let code = accepted
            .as_ref()
            .err()
            .map_or("accepted", |error| error.code());
        let attempt = accepted.as_ref().ok().copied().or(headers.attempt);
        let run = attempt.and_then(|attempt| state.runs.get(&attempt));
        self.journal.append(JournalEntry {
            kind: "complete".to_owned(),
            outcome: code.to_owned(),
            attempt,
            name: headers.name.clone().or(run.map(|run| run.name.clone())),
            epoch: headers.epoch,
            body_digest: xxh3_64(body),
            ..JournalEntry::default()
        });
        let attempt = match accepted {
            Ok(attempt) => attempt,
            Err(refusal) => {
                state.counters.refused += 1;
                return Err(refusal);
            }
        };
        state.counters.completions += 1;
        self.admit(&mut state);
        let fault = self.take_fault(&mut state, attempt);
        self.attach(&mut state, connection, attempt, 0, fault)
    }

    /// Checks a completion and puts it into the queue.
    fn accept(
        &self,
        state: &mut EngineState,
        headers: &CallHeaders,
        body: &Bytes,
    ) -> Result<AttemptId, EngineRefusal> {
        let settings = self.settings.read();
        let completion: CompletionBody = serde_json::from_slice(body)
            .ok()
            .ok_or(EngineRefusal::Malformed)?;
        let prompt = completion.prompt_digest().ok_or(EngineRefusal::Malformed)?;
        let name = match &headers.name {
            Some(name) => name.clone(),
            None => completion
                .adapter()
                .and_then(|adapter| find_resident(state, &adapter))
                .ok_or(EngineRefusal::NotResident)?,
        };
        if !matches!(state.adapters.get(&name), Some(None)) {
            return Err(EngineRefusal::NotResident);
        }
        let attempt = headers
            .attempt
            .unwrap_or_else(|| AttemptId::new(RequestId::from_u128(rand::random()), 1));
        if state.runs.contains_key(&attempt) {
            return Err(EngineRefusal::RepeatedAttempt);
        }
        let rank = headers.rank.unwrap_or(RequestRank::Standard);
        let is_crashing = !settings.crash_marker.is_empty()
            && body
                .windows(settings.crash_marker.len())
                .any(|window| window == settings.crash_marker.as_bytes());
        state.cache.store(&name, prompt, settings.cache_event_gap);
        state.runs.insert(
            attempt,
            EngineRun {
                name,
                rank,
                prompt,
                tokens: completion.tokens(settings.default_tokens),
                is_crashing,
                progress: watch::Sender::new(RunProgress {
                    phase: RunPhase::Waiting,
                    produced: 0,
                    cuts: 0,
                }),
                task: None,
                readers: 0,
                touches: 0,
            },
        );
        state.enqueue(attempt, rank);
        Ok(attempt)
    }

    /// Continues an answer from the token `from`.
    pub(super) fn resume(
        self: &Arc<Self>,
        connection: u64,
        attempt: AttemptId,
        from: u64,
    ) -> Result<AnswerReader, EngineRefusal> {
        let mut state = self.state();
        let found = match state.runs.get(&attempt) {
            Some(run) if from > run.tokens => Err(EngineRefusal::Malformed),
            Some(run) => Ok((run.rank, run.name.clone(), run.progress.borrow().phase)),
            None => Err(EngineRefusal::UnknownAttempt),
        };
        self.journal.append(JournalEntry {
            kind: "resume".to_owned(),
            outcome: found
                .as_ref()
                .err()
                .map_or("accepted", |error| error.code())
                .to_owned(),
            attempt: Some(attempt),
            name: found.as_ref().ok().map(|(_, name, _)| name.clone()),
            ..JournalEntry::default()
        });
        let (rank, _, phase) = found?;
        state.counters.resumes += 1;
        // A crossing concerns connections: the new one reads the run of its own attempt.
        state.redirects.remove(&attempt);
        if phase == RunPhase::Cancelled {
            if let Some(run) = state.runs.get(&attempt) {
                run.progress
                    .send_modify(|progress| progress.phase = RunPhase::Waiting);
            }
            state.enqueue(attempt, rank);
            self.admit(&mut state);
        }
        self.attach(&mut state, connection, attempt, from, AnswerFault::None)
    }

    /// Stops an attempt; a resume within the resume time continues it.
    pub(super) fn cancel(self: &Arc<Self>, attempt: AttemptId) {
        let mut state = self.state();
        self.journal.append(JournalEntry {
            kind: "cancel".to_owned(),
            outcome: "accepted".to_owned(),
            attempt: Some(attempt),
            ..JournalEntry::default()
        });
        state.counters.cancels += 1;
        state.stop_run(attempt);
        self.admit(&mut state);
        self.expire_later(&mut state, attempt);
    }

    /// Notes that a reader of a run has gone.
    pub(super) fn detach(self: &Arc<Self>, attempt: AttemptId) {
        let mut state = self.state();
        if let Some(run) = state.runs.get_mut(&attempt) {
            run.readers = run.readers.saturating_sub(1);
            if run.readers == 0 {
                self.expire_later(&mut state, attempt);
            }
        }
    }

    fn attach(
        self: &Arc<Self>,
        state: &mut EngineState,
        connection: u64,
        attempt: AttemptId,
        from: u64,
        fault: AnswerFault,
    ) -> Result<AnswerReader, EngineRefusal> {
        let run = state
            .runs
            .get_mut(&attempt)
            .ok_or(EngineRefusal::Restarted)?;
        run.readers += 1;
        run.touches += 1;
        let cuts = run.progress.borrow().cuts;
        Ok(AnswerReader::new(
            Arc::clone(self),
            connection,
            attempt,
            from,
            cuts,
            fault,
        ))
    }

    /// Takes the fault that is ordered for the next answer.
    fn take_fault(&self, state: &mut EngineState, attempt: AttemptId) -> AnswerFault {
        self.settings.change(|settings| {
            if settings.swap_answers > 0 {
                let other = state.runs.iter().find(|(other, run)| {
                    **other != attempt
                        && run.readers > 0
                        && !state.redirects.contains_key(other)
                        && run.progress.borrow().produced < run.tokens
                });
                if let Some((&other, run)) = other {
                    settings.swap_answers -= 1;
                    state.redirects.insert(attempt, other);
                    state.redirects.insert(other, attempt);
                    // Wakes the other reader, so that it changes over.
                    run.progress.send_modify(|_| ());
                }
            }
            for (count, fault) in [
                (&mut settings.duplicate_answers, AnswerFault::Duplicate),
                (&mut settings.truncate_answers, AnswerFault::Truncate),
                (&mut settings.cut_answers, AnswerFault::Cut),
            ] {
                if *count > 0 {
                    *count -= 1;
                    return fault;
                }
            }
            AnswerFault::None
        })
    }
}

/// Finds the latest loaded name of an adapter, for callers that know no epochs.
fn find_resident(state: &EngineState, adapter: &AdapterRef) -> Option<EngineName> {
    state
        .adapters
        .iter()
        .rev()
        .find(|(name, loading)| loading.is_none() && name.adapter() == adapter)
        .map(|(name, _)| name.clone())
}
