//! Maps whose entries are spread over shards, each under its own lock.

mod sharded_map;

pub use sharded_map::ShardedMap;
