//! Tests of load permits, run in virtual time.

mod client;
mod fixtures;
mod fleet;
mod fleet_event;
mod fleet_limits;
mod fleet_member;
mod holder;
