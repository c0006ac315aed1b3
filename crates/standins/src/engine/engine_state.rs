use std::collections::BTreeMap;

use comfreychute::id::{AttemptId, EngineName, OwnerEpoch, RequestRank};
use tokio::sync::watch;

use super::EngineCounters;
use super::cache_log::CacheLog;
use super::engine_run::EngineRun;
use super::load_report::LoadReport;
use super::run_phase::RunPhase;

/// What an engine loses in a restart, apart from counters and logs.
#[derive(Debug, Default)]
pub(super) struct EngineState {
    pub(super) incarnation: u64,
    pub(super) fencing: OwnerEpoch,
    /// Loaded adapters; those being loaded carry a channel that reports success.
    pub(super) adapters: BTreeMap<EngineName, Option<watch::Sender<Option<bool>>>>,
    pub(super) runs: BTreeMap<AttemptId, EngineRun>,
    /// Waiting runs by rank and arrival.
    pub(super) queue: BTreeMap<(RequestRank, u64), AttemptId>,
    pub(super) arrivals: u64,
    pub(super) running: u32,
    /// Attempts whose readers are served from another run.
    pub(super) redirects: BTreeMap<AttemptId, AttemptId>,
    pub(super) report: LoadReport,
    pub(super) cache: CacheLog,
    pub(super) counters: EngineCounters,
}

impl EngineState {
    /// Counts the requests that run or wait on an adapter.
    pub(super) fn load_of(&self, name: &EngineName) -> u32 {
        let count = self
            .runs
            .values()
            .filter(|run| &run.name == name)
            .filter(|run| {
                matches!(
                    run.progress.borrow().phase,
                    RunPhase::Waiting | RunPhase::Running
                )
            })
            .count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Adds a run to the queue.
    pub(super) fn enqueue(&mut self, attempt: AttemptId, rank: RequestRank) {
        self.arrivals += 1;
        self.queue.insert((rank, self.arrivals), attempt);
    }

    /// Stops a run without forgetting it.
    pub(super) fn stop_run(&mut self, attempt: AttemptId) {
        let Some(run) = self.runs.get_mut(&attempt) else {
            return;
        };
        if let Some(task) = run.task.take() {
            task.abort();
        }
        let phase = run.progress.borrow().phase;
        match phase {
            RunPhase::Running => self.running -= 1,
            RunPhase::Waiting => self.queue.retain(|_, waiting| *waiting != attempt),
            RunPhase::Cancelled | RunPhase::Finished => return,
        }
        run.progress
            .send_modify(|progress| progress.phase = RunPhase::Cancelled);
    }

    /// Forgets everything but the counters, and takes a new incarnation.
    pub(super) fn restart(&mut self) {
        for run in self.runs.values_mut() {
            if let Some(task) = run.task.take() {
                task.abort();
            }
        }
        *self = Self {
            incarnation: rand::random(),
            counters: EngineCounters {
                restarts: self.counters.restarts + 1,
                ..self.counters
            },
            ..Self::default()
        };
    }

    /// Stops and forgets a run; its readers' connections are cut.
    pub(super) fn remove_run(&mut self, attempt: AttemptId) {
        self.stop_run(attempt);
        self.runs.remove(&attempt);
        if let Some(other) = self.redirects.remove(&attempt) {
            self.redirects.remove(&other);
        }
    }
}
