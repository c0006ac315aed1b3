use std::sync::{Mutex, MutexGuard, PoisonError};

use comfreychute::id::{AttemptId, EngineName};
use comfreychute::upstream::{CacheEvent, EngineStatus, ResidentAdapter};
use tokio::sync::watch;

use super::engine_state::EngineState;
use super::run_progress::RunProgress;
use super::{EngineCounters, EngineSettings, WeightStore};
use crate::control::SettingsCell;
use crate::journal::RequestJournal;
use crate::server::ConnectionGate;

/// The engine behind the endpoints.
#[derive(Debug)]
pub(super) struct EngineCore {
    pub(super) settings: SettingsCell<EngineSettings>,
    pub(super) journal: RequestJournal,
    pub(super) gate: ConnectionGate,
    pub(super) store: WeightStore,
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

    /// Locks the state.
    pub(super) fn state(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
