//! Tests of ownership of failure domains, the ledger of one engine, and load permits.

mod ack_tracker;
mod directory;
mod fetch_pool;
mod gossip_tree;
mod lease;
mod ledger;
