use std::collections::{BTreeMap, BTreeSet};

/// Counts the loads of a cache that knows the future and serves requests in order (Belady).
///
/// All `slots` form one cache. Only loads at positions from `from` on are counted; the earlier
/// ones warm the cache.
#[must_use]
pub fn clairvoyant_loads(adapters: &[usize], slots: usize, from: usize) -> usize {
    let mut next_use = vec![usize::MAX; adapters.len()];
    let mut seen: BTreeMap<usize, usize> = BTreeMap::new();
    for (index, adapter) in adapters.iter().enumerate().rev() {
        next_use[index] = seen.insert(*adapter, index).unwrap_or(usize::MAX);
    }
    let mut cached: BTreeMap<usize, usize> = BTreeMap::new();
    let mut by_next: BTreeSet<(usize, usize)> = BTreeSet::new();
    let mut loads = 0;
    for (index, adapter) in adapters.iter().enumerate() {
        if let Some(next) = cached.remove(adapter) {
            by_next.remove(&(next, *adapter));
        } else {
            loads += usize::from(index >= from);
            if cached.len() >= slots
                && let Some((_, evicted)) = by_next.pop_last()
            {
                cached.remove(&evicted);
            }
        }
        cached.insert(*adapter, next_use[index]);
        by_next.insert((next_use[index], *adapter));
    }
    loads
}
