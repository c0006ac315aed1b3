//! The whole path across separate processes: platform, upstreams and nodes over TCP on loopback.

mod answers;
mod configuration;
mod crashing;
mod fixture;
mod hostile;
mod leaving;
mod orders;
mod outage;
mod ownership;
mod process_fleet;
mod processes;
mod replacement;
mod slow_store;
mod surge;
mod typed_answer;
