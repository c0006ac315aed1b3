use super::table_check::TableCheck;
use super::{PoolKind, PoolRow, StoreRow};

impl TableCheck<'_> {
    /// Checks the limits of a weight store.
    pub(super) fn check_store(&mut self, row: &StoreRow) {
        let key = format!("store.{}", row.name);
        if !row.loads_per_second.is_finite() || row.loads_per_second <= 0.0 {
            self.add_fault(
                &key,
                "loads_per_second is not positive",
                "use the rate that the weight store allows the whole fleet",
            );
        }
        if row.parallel == 0 {
            self.add_fault(&key, "parallel is zero", "use at least 1");
        }
        if row.max_in_flight < row.parallel {
            self.add_fault(
                &key,
                "max_in_flight is below parallel",
                "use at least the value of parallel",
            );
        }
        if row.load_time.is_zero() {
            self.add_fault(
                &key,
                "load_time is zero",
                "use the time of one load, such as \"250ms\"",
            );
        }
    }

    /// Checks a pool and its reference to a weight store.
    pub(super) fn check_pool(&mut self, row: &PoolRow) {
        let key = format!("pool.{}", row.name);
        let is_model = row.kind == PoolKind::Model;
        if is_model && row.model.is_none() {
            self.add_fault(
                &key,
                "a model pool has no model",
                "add model with the base model",
            );
        }
        match &row.store {
            None if is_model => self.add_fault(
                &key,
                "a model pool has no weight store",
                "add store with the name of a [[store]] row",
            ),
            Some(store) if is_model && self.set.pools.store(store).is_none() => self.add_fault(
                &key,
                &format!("store {store:?} does not exist"),
                "name a [[store]] row of the pool table",
            ),
            _ => {}
        }
        if !is_model && (row.model.is_some() || row.store.is_some()) {
            self.add_fault(
                &key,
                "a plain pool names a model or a store",
                "remove model and store, or use kind = \"model\"",
            );
        }
        if row.slots == 0 || row.max_running == 0 {
            self.add_fault(&key, "slots or max_running is zero", "use at least 1");
        }
        let is_share = |share: f64| (0.0..=1.0).contains(&share);
        if !row.floors.values().copied().all(is_share)
            || row.floors.values().sum::<f64>() > 1.0 + 1e-9
        {
            self.add_fault(
                &key,
                "the floors are not shares that sum to at most 1",
                "use shares from 0 to 1, such as floors = { standard = 0.2, batch = 0.1 }",
            );
        }
        if !is_share(row.stall_weight) {
            self.add_fault(
                &key,
                "stall_weight is not from 0 to 1",
                "use a number from 0 to 1, such as 0.5",
            );
        }
        if row.frozen_owner_limit.is_some_and(|limit| limit.is_zero()) {
            self.add_fault(
                &key,
                "frozen_owner_limit is zero",
                "use a duration such as \"60s\"",
            );
        }
    }
}
