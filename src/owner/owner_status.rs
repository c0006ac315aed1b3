//! Following the engine's status: restarts, adapters of former owners, health.

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
    /// Compares the engine's status with the state: restarts, adapters of former owners, health.
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
                        actions.extend(self.charge_restart(&mut state));
                    }
                    actions.extend(self.adopt_residents(&mut state, status));
                    actions.extend(state.scheduler.tick(self.now()));
                    actions
                }
            }
        };
        if has_restarted {
            // A resend may reach another owner before the next regular heartbeat.
            (self.inner().context.broadcast_suspects)();
        }
        self.perform(actions);
    }

    /// Forgets the residency after a restart and charges the requests that were in flight.
    fn charge_restart(&self, state: &mut OwnerState) -> Vec<ScheduleAction> {
        LogEvent::new(LogName::UpstreamRestarted)
            .with("upstream", self.upstream())
            .send();
        state.names.clear();
        state.evicting.clear();
        for adapter in std::mem::take(&mut state.held) {
            state.scheduler.unpin_adapter(&adapter, self.now());
        }
        let mut suspects = self
            .inner()
            .context
            .suspects
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        // One crash charges equal requests once; otherwise three copies of a harmless request would
        // be refused after a single crash.
        let mut charged = BTreeSet::new();
        for owned in state.calls.values_mut().filter(|owned| owned.is_dispatched) {
            owned.has_crashed = true;
            if charged.insert(owned.fingerprint) {
                suspects.record_crash(owned.fingerprint, self.inner().context.timer.clock().now());
            }
        }
        drop(suspects);
        state.scheduler.restarted(self.now())
    }

    /// Takes over the adapters of former owners and leaves out the slots that they still block.
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
                names: &state.names,
                evicting: &state.evicting,
                slot: |adapter: &AdapterRef| state.scheduler.residency().state(adapter),
                epoch_status: |epoch| (self.inner().context.epoch_status)(self.upstream(), epoch),
                silence_limit: self.inner().pool.frozen_owner_limit,
            },
        );
        // The scheduler adopts an adapter only into a free slot, so that the number goes first.
        let slots = self.inner().pool.slots.saturating_sub(review.blocked);
        state.scheduler.set_slots(slots);
        for (name, is_evictable) in review.usable {
            let adapter = name.adapter();
            if state.names.insert(adapter.clone(), name.clone()).is_none() {
                actions.extend(state.scheduler.adopted(adapter, now));
            }
            if is_evictable && state.held.remove(adapter) {
                actions.extend(state.scheduler.unpin_adapter(adapter, now));
            } else if !is_evictable && state.held.insert(adapter.clone()) {
                state.scheduler.pin_adapter(adapter, now);
            }
        }
        // A load whose order got no answer may have ended later. A status may be older than the
        // last eviction, so that one status alone does not count.
        let former = std::mem::replace(&mut state.untracked, review.untracked.clone());
        for name in review.untracked.intersection(&former) {
            state.names.insert(name.adapter().clone(), name.clone());
            actions.extend(state.scheduler.adopted(name.adapter(), now));
        }
        for name in review.surplus {
            state.evicting.insert(name.clone());
            if state.dropping.insert(name.clone()) {
                self.spawn_drop(name);
            }
        }
        actions
    }

    /// Asks the engine for its status.
    ///
    /// # Errors
    ///
    /// Returns the client's error if the engine does not answer.
    pub async fn status(&self) -> Result<Option<EngineStatus>, Error> {
        match &self.inner().client {
            UpstreamClient::Engine { orders, .. } => orders.status().await.map(Some),
            UpstreamClient::Plain(_) => Ok(None),
        }
    }

    /// Returns whether the engine restarted while it ran the call.
    pub(super) async fn has_crashed(&self, call: &OwnerCall) -> bool {
        if let Ok(Some(status)) = self.status().await {
            self.observe_status(&Ok(status));
        }
        self.state()
            .calls
            .get(&call.request)
            .is_some_and(|owned| owned.has_crashed)
    }
}
