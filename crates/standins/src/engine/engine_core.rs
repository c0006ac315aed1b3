use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use comfreychute::id::{AdapterRef, AttemptId, EngineName, OwnerEpoch, RequestId, RequestRank};
use comfreychute::upstream::{CacheEvent, EngineOrder, EngineStatus, ResidentAdapter};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};
use xxhash_rust::xxh3::xxh3_64;

use super::answer_fault::AnswerFault;
use super::answer_reader::AnswerReader;
use super::completion_body::CompletionBody;
use super::engine_refusal::EngineRefusal;
use super::engine_run::EngineRun;
use super::engine_state::EngineState;
use super::run_phase::RunPhase;
use super::run_progress::RunProgress;
use super::{EngineCounters, EngineSettings, WeightStore};
use crate::control::SettingsCell;
use crate::journal::{JournalEntry, RequestJournal};
use crate::server::ConnectionGate;

/// What the headers of a completion say.
#[derive(Debug, Default)]
pub(super) struct CallHeaders {
    pub(super) attempt: Option<AttemptId>,
    pub(super) name: Option<EngineName>,
    pub(super) epoch: Option<OwnerEpoch>,
    pub(super) rank: Option<RequestRank>,
}

/// The engine behind the endpoints.
#[derive(Debug)]
pub(super) struct EngineCore {
    pub(super) settings: SettingsCell<EngineSettings>,
    pub(super) journal: RequestJournal,
    pub(super) gate: ConnectionGate,
    store: WeightStore,
    state: Mutex<EngineState>,
}

impl EngineCore {
    pub(super) fn new(settings: EngineSettings, store: WeightStore) -> Self {
        Self {
            settings: SettingsCell::new(settings),
            journal: RequestJournal::default(),
            gate: ConnectionGate::default(),
            store,
            state: Mutex::new(EngineState {
                incarnation: rand::random(),
                ..EngineState::default()
            }),
        }
    }

    pub(super) fn status(&self) -> EngineStatus {
        let settings = self.settings.read();
        let state = self.state();
        let (running, waiting) = state.report.at(settings.report_lag);
        EngineStatus {
            incarnation: state.incarnation,
            fencing: state.fencing,
            slots: settings.slots,
            resident: state
                .adapters
                .iter()
                .filter(|(_, loading)| loading.is_none())
                .map(|(name, _)| ResidentAdapter {
                    name: name.clone(),
                    running: state.load_of(name),
                })
                .collect(),
            running,
            waiting,
        }
    }

    pub(super) fn kept_answers(&self) -> usize {
        self.state().runs.len()
    }

    pub(super) fn counters(&self) -> EngineCounters {
        self.state().counters
    }

    pub(super) fn cache_events(&self, after: u64) -> Vec<CacheEvent> {
        let lag = self.settings.read().cache_event_lag;
        self.state().cache.read(after, lag)
    }

    /// Loads an adapter and waits until it is ready.
    pub(super) async fn load(self: &Arc<Self>, body: &[u8]) -> Result<(), EngineRefusal> {
        let order = self.read_order("load", body)?;
        let begun = self.begin_load(&order);
        let code = begun
            .as_ref()
            .err()
            .map_or("accepted", |error| error.code());
        self.record_order("load", code, &order, body);
        let Some(mut loading) = begun? else {
            return Ok(());
        };
        match loading.wait_for(Option::is_some).await {
            Ok(outcome) if *outcome == Some(true) => Ok(()),
            Ok(_) => Err(EngineRefusal::LoadFailed),
            Err(_) => Err(EngineRefusal::Restarted),
        }
    }

    fn begin_load(
        self: &Arc<Self>,
        order: &EngineOrder,
    ) -> Result<Option<watch::Receiver<Option<bool>>>, EngineRefusal> {
        let mut state = self.state();
        self.check_epoch(&mut state, order.epoch)?;
        match state.adapters.get(&order.name) {
            Some(None) => return Ok(None),
            Some(Some(loading)) => return Ok(Some(loading.subscribe())),
            None => {}
        }
        let settings = self.settings.read();
        if state.adapters.len() >= usize::try_from(settings.slots).unwrap_or(usize::MAX) {
            return Err(EngineRefusal::Full);
        }
        let fails = self.settings.change(|settings| {
            let fails = settings.fail_loads > 0;
            settings.fail_loads = settings.fail_loads.saturating_sub(1);
            fails
        });
        let (sender, receiver) = watch::channel(None);
        state.adapters.insert(order.name.clone(), Some(sender));
        state.counters.loads += 1;
        let (core, name) = (Arc::clone(self), order.name.clone());
        let incarnation = state.incarnation;
        let ticket = self
            .store
            .begin(settings.store_rate, settings.store_in_flight);
        tokio::spawn(async move {
            sleep(settings.load_time.mul_f64(ticket.slowdown())).await;
            drop(ticket);
            core.end_load(&name, incarnation, !fails);
        });
        Ok(Some(receiver))
    }

    fn end_load(&self, name: &EngineName, incarnation: u64, is_ok: bool) {
        let mut state = self.state();
        if state.incarnation != incarnation {
            return;
        }
        // An order to evict the adapter may have ended the load before.
        let Some(loading) = state.adapters.get_mut(name).and_then(Option::take) else {
            return;
        };
        if !is_ok {
            state.adapters.remove(name);
            state.counters.failed_loads += 1;
        }
        loading.send_replace(Some(is_ok));
    }

    /// Evicts an adapter; requests on it are cut.
    pub(super) fn evict(self: &Arc<Self>, body: &[u8]) -> Result<(), EngineRefusal> {
        let order = self.read_order("evict", body)?;
        let mut state = self.state();
        let checked = self.check_epoch(&mut state, order.epoch);
        let code = checked.err().map_or("accepted", EngineRefusal::code);
        self.record_order("evict", code, &order, body);
        checked?;
        let load = state.load_of(&order.name);
        if state.adapters.remove(&order.name).is_none() {
            return Ok(());
        }
        state.counters.evictions += 1;
        if load > 0 {
            state.counters.evictions_while_running += 1;
        }
        let gone: Vec<AttemptId> = state
            .runs
            .iter()
            .filter(|(_, run)| run.name == order.name)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in gone {
            state.remove_run(attempt);
        }
        let gap = self.settings.read().cache_event_gap;
        state.cache.drop_adapter(&order.name, gap);
        self.admit(&mut state);
        Ok(())
    }

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

    /// Restarts cold: all adapters, runs and connections in use are lost.
    pub(super) fn restart(&self) {
        self.state().restart();
    }

    /// Cuts the connections of all streams; the runs go on.
    pub(super) fn cut_streams(&self) {
        for run in self.state().runs.values() {
            run.progress.send_modify(|progress| progress.cuts += 1);
        }
    }

    /// Returns the run that serves the readers of an attempt at present.
    pub(super) fn source(
        &self,
        attempt: AttemptId,
    ) -> Option<(
        AttemptId,
        EngineName,
        u64,
        u64,
        watch::Receiver<RunProgress>,
    )> {
        let state = self.state();
        let source = state.redirects.get(&attempt).copied().unwrap_or(attempt);
        let run = state.runs.get(&source)?;
        Some((
            source,
            run.name.clone(),
            run.prompt,
            run.tokens,
            run.progress.subscribe(),
        ))
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

    /// Forgets a run unless a reader comes within the resume time.
    fn expire_later(self: &Arc<Self>, state: &mut EngineState, attempt: AttemptId) {
        let Some(run) = state.runs.get_mut(&attempt) else {
            return;
        };
        run.touches += 1;
        let (core, touches) = (Arc::clone(self), run.touches);
        let wait = self.settings.read().resume_time;
        tokio::spawn(async move {
            sleep(wait).await;
            let mut state = core.state();
            let is_idle = state
                .runs
                .get(&attempt)
                .is_some_and(|run| run.readers == 0 && run.touches == touches);
            if is_idle {
                state.remove_run(attempt);
                core.admit(&mut state);
            }
        });
    }

    /// Starts waiting runs while there is room.
    fn admit(self: &Arc<Self>, state: &mut EngineState) {
        let settings = self.settings.read();
        while state.running < settings.max_running
            && let Some((_, attempt)) = state.queue.pop_first()
        {
            let Some(run) = state.runs.get_mut(&attempt) else {
                continue;
            };
            self.journal.append(JournalEntry {
                kind: "start".to_owned(),
                outcome: "accepted".to_owned(),
                attempt: Some(attempt),
                name: Some(run.name.clone()),
                ..JournalEntry::default()
            });
            state.running += 1;
            state.counters.peak_running = state.counters.peak_running.max(state.running);
            run.progress
                .send_modify(|progress| progress.phase = RunPhase::Running);
            let produced = run.progress.borrow().produced;
            let job = Arc::clone(self).generate(
                attempt,
                state.incarnation,
                produced..run.tokens,
                run.is_crashing,
                settings.token_interval,
            );
            run.task = Some(tokio::spawn(job).abort_handle());
        }
        let waiting = u32::try_from(state.queue.len()).unwrap_or(u32::MAX);
        state
            .report
            .push(state.running, waiting, settings.report_lag);
    }

    async fn generate(
        self: Arc<Self>,
        attempt: AttemptId,
        incarnation: u64,
        tokens: std::ops::Range<u64>,
        is_crashing: bool,
        interval: Duration,
    ) {
        let end = tokens.end;
        let mut due = Instant::now();
        if is_crashing {
            let mut state = self.state();
            if state.incarnation == incarnation {
                state.counters.crashes += 1;
                state.restart();
            }
            return;
        }
        if !interval.is_zero() {
            for token in tokens {
                due += interval;
                sleep_until(due).await;
                let mut state = self.state();
                if state.incarnation != incarnation {
                    return;
                }
                state.counters.tokens += 1;
                if let Some(run) = state.runs.get(&attempt) {
                    run.progress
                        .send_modify(|progress| progress.produced = token + 1);
                }
            }
        }
        let mut state = self.state();
        if state.incarnation != incarnation {
            return;
        }
        let Some(run) = state.runs.get_mut(&attempt) else {
            return;
        };
        run.task = None;
        let mut produced = 0;
        run.progress.send_modify(|progress| {
            produced = end - progress.produced;
            progress.produced = end;
            progress.phase = RunPhase::Finished;
        });
        state.counters.tokens += produced;
        state.counters.finished += 1;
        state.running -= 1;
        self.admit(&mut state);
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

    fn read_order(&self, kind: &str, body: &[u8]) -> Result<EngineOrder, EngineRefusal> {
        serde_json::from_slice(body).ok().ok_or_else(|| {
            self.journal.append(JournalEntry {
                kind: kind.to_owned(),
                outcome: EngineRefusal::Malformed.code().to_owned(),
                body_digest: xxh3_64(body),
                ..JournalEntry::default()
            });
            EngineRefusal::Malformed
        })
    }

    fn record_order(&self, kind: &str, outcome: &str, order: &EngineOrder, body: &[u8]) {
        self.journal.append(JournalEntry {
            kind: kind.to_owned(),
            outcome: outcome.to_owned(),
            name: Some(order.name.clone()),
            epoch: Some(order.epoch),
            body_digest: xxh3_64(body),
            ..JournalEntry::default()
        });
    }

    fn check_epoch(&self, state: &mut EngineState, epoch: OwnerEpoch) -> Result<(), EngineRefusal> {
        if !self.settings.read().checks_fencing {
            return Ok(());
        }
        if epoch < state.fencing {
            state.counters.fenced_orders += 1;
            return Err(EngineRefusal::Fenced);
        }
        state.fencing = epoch;
        Ok(())
    }

    fn state(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
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
