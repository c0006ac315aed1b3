//! Tests of ownership of failure domains, the ledger of one engine, and load permits.

mod fetch_pool;
mod lease;
mod ledger;
mod load_tree;
mod shares;
mod view;
