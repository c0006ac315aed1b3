//! Tests of load permits in virtual time.

mod asking;
mod fixtures;
mod fleet;
mod fleet_event;
mod fleet_limits;
mod fleet_member;
mod rules;
