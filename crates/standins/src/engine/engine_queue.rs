use std::sync::Arc;
use std::time::Duration;

use comfreychute::id::AttemptId;
use tokio::time::{Instant, sleep, sleep_until};

use super::engine_core::EngineCore;
use super::engine_state::EngineState;
use super::run_phase::RunPhase;
use crate::journal::JournalEntry;

/// The queue, the generation of tokens and the expiry of answers.
impl EngineCore {
    /// Forgets a run unless a reader comes within the resume time.
    pub(super) fn expire_later(self: &Arc<Self>, state: &mut EngineState, attempt: AttemptId) {
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
    pub(super) fn admit(self: &Arc<Self>, state: &mut EngineState) {
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
}
