use std::borrow::Borrow;
use std::collections::BTreeMap;
use std::fmt::Display;
use std::sync::{Mutex, MutexGuard, PoisonError};

use xxhash_rust::xxh3::xxh3_64;

/// A map split into shards by the hash of the key's text form.
///
/// Keys are ordered within a shard, but not across shards.
/// Threads that work on different keys rarely contend for the same lock.
#[derive(Debug)]
pub struct ShardedMap<K, V> {
    shards: Vec<Mutex<BTreeMap<K, V>>>,
}

impl<K: Ord + Display, V> ShardedMap<K, V> {
    /// Creates an empty map with `shards` shards.
    ///
    /// # Panics
    ///
    /// Panics if `shards` is zero.
    #[must_use]
    pub fn new(shards: usize) -> Self {
        assert!(shards > 0, "a sharded map needs at least one shard");
        Self {
            shards: (0..shards).map(|_| Mutex::new(BTreeMap::new())).collect(),
        }
    }

    /// Inserts a value and returns the previous value of the key.
    pub fn insert(&self, key: K, value: V) -> Option<V> {
        self.shard(&key).insert(key, value)
    }

    /// Removes a key and returns its value.
    pub fn remove<Q>(&self, key: &Q) -> Option<V>
    where
        K: Borrow<Q>,
        Q: Ord + Display + ?Sized,
    {
        self.shard(key).remove(key)
    }

    /// Calls `access` with the value of `key` and returns its result; holds the lock of the shard.
    pub fn with<Q, T>(&self, key: &Q, access: impl FnOnce(Option<&mut V>) -> T) -> T
    where
        K: Borrow<Q>,
        Q: Ord + Display + ?Sized,
    {
        access(self.shard(key).get_mut(key))
    }

    /// Calls `visit` for each entry; locks one shard at a time, so it sees no consistent snapshot.
    pub fn for_each(&self, mut visit: impl FnMut(&K, &mut V)) {
        for shard in &self.shards {
            for (key, value) in shard
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .iter_mut()
            {
                visit(key, value);
            }
        }
    }

    /// Returns the number of entries; locks one shard at a time.
    #[must_use]
    pub fn len(&self) -> usize {
        self.shards
            .iter()
            .map(|shard| shard.lock().unwrap_or_else(PoisonError::into_inner).len())
            .sum()
    }

    /// Returns whether the map has no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn shard<Q: Display + ?Sized>(&self, key: &Q) -> MutexGuard<'_, BTreeMap<K, V>> {
        let count = self.shards.len() as u64;
        let index = usize::try_from(xxh3_64(key.to_string().as_bytes()) % count).unwrap_or(0);
        self.shards[index]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
