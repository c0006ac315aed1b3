//! A whole fleet in one process: a platform, upstreams and nodes.

mod fleet_tables;
mod local_fleet;

pub use fleet_tables::FleetTables;
pub use local_fleet::LocalFleet;
