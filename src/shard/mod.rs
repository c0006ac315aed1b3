//! A concurrent map whose entries are distributed over shards, each with its own lock.

mod sharded_map;

pub use sharded_map::ShardedMap;
