//! The whole path across separate processes: platform, upstreams and nodes over TCP on loopback.

mod answers;
mod configuration;
mod crashing;
mod fixture;
mod leaving;
mod orders;
mod ownership;
mod process_fleet;
mod processes;
mod replacement;
