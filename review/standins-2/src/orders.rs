//! The check of the rule ONE over the orders that workers received.

use std::collections::BTreeMap;

use crate::engine::SeenOrder;

/// Returns what breaks the rule: two holders with one epoch number, a lower epoch number after a higher
/// one, or orders of two holders to one worker within `lease_s`. Orders for which `is_excused` holds don't
/// count.
pub fn broken_turns(
    orders: &[SeenOrder],
    lease_s: f64,
    is_excused: impl Fn(&SeenOrder) -> bool,
) -> Vec<String> {
    let mut faults = Vec::new();
    let mut last: BTreeMap<&str, &SeenOrder> = BTreeMap::new();
    let mut holders: BTreeMap<(&str, u64), &str> = BTreeMap::new();
    for order in orders.iter().filter(|order| !is_excused(order)) {
        let holder = *holders
            .entry((&order.worker, order.token))
            .or_insert(&order.holder);
        if holder != order.holder {
            faults.push(format!(
                "{:.3} {}: {} and {} have the epoch number {}",
                order.at, order.worker, holder, order.holder, order.token
            ));
        }
        if let Some(before) = last.insert(&order.worker, order) {
            if order.token < before.token {
                faults.push(format!(
                    "{:.3} {}: epoch number {} of {} after {} of {}",
                    order.at, order.worker, order.token, order.holder, before.token, before.holder
                ));
            }
            if order.holder != before.holder && order.at - before.at < lease_s {
                faults.push(format!(
                    "{:.3} {}: an order of {} {:.3} s after one of {}",
                    order.at,
                    order.worker,
                    order.holder,
                    order.at - before.at,
                    before.holder
                ));
            }
        }
    }
    faults
}
