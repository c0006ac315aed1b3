//! Processing of engine statuses: restarts, adapters of former owners and health.

use std::collections::BTreeSet;
use std::sync::PoisonError;

use super::owner_state::OwnerState;
use super::upstream_client::UpstreamClient;
use super::{OwnerCall, ResidentReview, ReviewInput, UpstreamOwner};
use crate::error::Error;
use crate::id::AdapterRef;
use crate::policy::ScheduleAction;
use crate::telemetry::{LogEvent, LogName};
use crate::upstream::EngineStatus;

impl UpstreamOwner {
    /// Updates the state from a polled engine status, or from the failure to get one.
    ///
    /// Detects restarts of the engine, adopts adapters of former owners and tracks the health.
    pub fn observe_status(&self, status: &Result<EngineStatus, Error>) {
        let mut has_restarted = false;
        let actions = {
            let mut state = self.state();
            match status {
                Err(error) => {
                    if std::mem::take(&mut state.is_healthy) {
                        let event = LogEvent::new(LogName::UpstreamUnreachable);
                        event
                            .with("upstream", self.upstream())
                            .with("reason", error)
                            .send();
                    }
                    Vec::new()
                }
                Ok(status) => {
                    if !std::mem::replace(&mut state.is_healthy, true) {
                        LogEvent::new(LogName::UpstreamRecovered)
                            .with("upstream", self.upstream())
                            .send();
                    }
                    let mut actions = Vec::new();
                    let former = state.incarnation.replace(status.incarnation);
                    has_restarted = former.is_some_and(|former| former != status.incarnation);
                    if has_restarted {
                        actions.extend(self.handle_restart(&mut state));
                    }
                    actions.extend(self.adopt_residents(&mut state, status));
                    actions.extend(state.scheduler.tick(self.now()));
                    actions
                }
            }
        };
        if has_restarted {
            // A resend of the request may reach another owner before the next regular heartbeat.
            (self.inner().context.broadcast_suspects)();
        }
        self.perform(actions);
    }

    /// Clears the residency after an engine restart and counts the crash against the requests that
    /// were in flight.
    fn handle_restart(&self, state: &mut OwnerState) -> Vec<ScheduleAction> {
        LogEvent::new(LogName::UpstreamRestarted)
            .with("upstream", self.upstream())
            .send();
        state.engine_names.clear();
        state.evicting.clear();
        for adapter in std::mem::take(&mut state.pinned) {
            state.scheduler.unpin_adapter(&adapter, self.now());
        }
        let mut suspects = self
            .inner()
            .context
            .suspects
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        // A crash counts once for requests with equal content; otherwise three copies of a harmless
        // request would be refused after a single crash.
        let mut counted = BTreeSet::new();
        for tracked in state
            .calls
            .values_mut()
            .filter(|tracked| tracked.is_dispatched)
        {
            tracked.has_crashed = true;
            if counted.insert(tracked.fingerprint) {
                suspects.record_crash(
                    tracked.fingerprint,
                    self.inner().context.timer.clock().now(),
                );
            }
        }
        drop(suspects);
        state.scheduler.restarted(self.now())
    }

    /// Adopts usable adapters of former owners, withholds from the scheduler the slots that
    /// unusable ones occupy, and orders the eviction of duplicates.
    fn adopt_residents(
        &self,
        state: &mut OwnerState,
        status: &EngineStatus,
    ) -> Vec<ScheduleAction> {
        let (mut actions, now) = (Vec::new(), self.now());
        state.evicting.retain(|name| {
            status
                .resident
                .iter()
                .any(|resident| resident.name == *name)
        });
        let review = ResidentReview::from_status(
            &status.resident,
            &ReviewInput {
                epoch: state.epoch,
                names: &state.engine_names,
                evicting: &state.evicting,
                slot: |adapter: &AdapterRef| state.scheduler.residency().state(adapter),
                epoch_status: |epoch| (self.inner().context.epoch_status)(self.upstream(), epoch),
                silence_limit: self.inner().pool.frozen_owner_limit,
            },
        );
        // Set before the adapters are adopted, since the scheduler adopts only into free slots.
        let slots = self.inner().pool.slots.saturating_sub(review.blocked);
        state.scheduler.set_slots(slots);
        for (name, is_evictable) in review.usable {
            let adapter = name.adapter();
            if state
                .engine_names
                .insert(adapter.clone(), name.clone())
                .is_none()
            {
                actions.extend(state.scheduler.adopted(adapter, now));
            }
            if is_evictable && state.pinned.remove(adapter) {
                actions.extend(state.scheduler.unpin_adapter(adapter, now));
            } else if !is_evictable && state.pinned.insert(adapter.clone()) {
                state.scheduler.pin_adapter(adapter, now);
            }
        }
        // An untracked copy of the owner's epoch is the result of a load whose order was not
        // answered. It is adopted only if two consecutive statuses list it, because a single status
        // may predate the last eviction.
        let former = std::mem::replace(&mut state.untracked, review.untracked.clone());
        for name in review.untracked.intersection(&former) {
            state
                .engine_names
                .insert(name.adapter().clone(), name.clone());
            actions.extend(state.scheduler.adopted(name.adapter(), now));
        }
        for name in review.surplus {
            state.evicting.insert(name.clone());
            if state.duplicate_evictions.insert(name.clone()) {
                self.spawn_duplicate_eviction(name);
            }
        }
        actions
    }

    /// Requests the status of the engine; `None` for plain services, which have none.
    ///
    /// # Errors
    ///
    /// Returns the client's error if the engine does not answer with a status.
    pub async fn status(&self) -> Result<Option<EngineStatus>, Error> {
        match &self.inner().client {
            UpstreamClient::Engine { orders, .. } => orders.status().await.map(Some),
            UpstreamClient::Plain(_) => Ok(None),
        }
    }

    /// Polls the status and returns whether the engine restarted while it was running the call.
    pub(super) async fn has_crashed(&self, call: &OwnerCall) -> bool {
        if let Ok(Some(status)) = self.status().await {
            self.observe_status(&Ok(status));
        }
        self.state()
            .calls
            .get(&call.request)
            .is_some_and(|tracked| tracked.has_crashed)
    }
}
