use std::sync::{Mutex, MutexGuard, PoisonError};

use http::StatusCode;
use tokio::sync::watch;

use super::call_fate::CallFate;
use super::{PlainCounters, PlainSettings};
use crate::control::SettingsCell;
use crate::journal::RequestJournal;
use crate::server::ConnectionGate;

/// The service behind the endpoints.
#[derive(Debug)]
pub(super) struct PlainCore {
    pub(super) settings: SettingsCell<PlainSettings>,
    pub(super) journal: RequestJournal,
    pub(super) gate: ConnectionGate,
    counters: Mutex<PlainCounters>,
    crashes: watch::Sender<u64>,
}

impl PlainCore {
    pub(super) fn new(settings: PlainSettings) -> Self {
        Self {
            settings: SettingsCell::new(settings),
            journal: RequestJournal::default(),
            gate: ConnectionGate::default(),
            counters: Mutex::default(),
            crashes: watch::Sender::new(0),
        }
    }

    /// Cuts the connections of all calls in progress.
    pub(super) fn crash(&self) {
        self.counters().crashes += 1;
        self.crashes.send_modify(|count| *count += 1);
    }

    /// Subscribes to crashes.
    pub(super) fn subscribe(&self) -> watch::Receiver<u64> {
        self.crashes.subscribe()
    }

    pub(super) fn counters(&self) -> MutexGuard<'_, PlainCounters> {
        self.counters.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the fault that is ordered for the next call.
    pub(super) fn fate(&self, body: &[u8]) -> CallFate {
        self.settings.change(|settings| {
            let marker = settings.crash_marker.as_bytes();
            if !marker.is_empty() && body.windows(marker.len()).any(|window| window == marker) {
                return CallFate::Crash;
            }
            if settings.fail_calls > 0 {
                settings.fail_calls -= 1;
                let status = StatusCode::from_u16(settings.fail_status);
                return CallFate::Fail(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
            }
            if settings.lost_replies > 0 {
                settings.lost_replies -= 1;
                return CallFate::Lose;
            }
            CallFate::Echo
        })
    }
}
