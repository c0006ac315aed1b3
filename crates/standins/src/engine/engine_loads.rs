use std::sync::Arc;

use comfreychute::id::{AttemptId, EngineName, OwnerEpoch};
use comfreychute::upstream::EngineOrder;
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

use super::engine_core::EngineCore;
use super::engine_refusal::EngineRefusal;
use super::engine_state::EngineState;
use crate::journal::JournalEntry;

/// Orders to load and evict adapters.
impl EngineCore {
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
        let mut order = receiver.clone();
        let ticket = self
            .store
            .begin(settings.store_rate, settings.store_in_flight);
        tokio::spawn(async move {
            tokio::select! {
                () = ticket.run(settings.load_time) => core.end_load(&name, incarnation, !fails),
                // A restart or an eviction drops the sender, which ends the load.
                _ = order.wait_for(|_| false) => {}
            }
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
}
