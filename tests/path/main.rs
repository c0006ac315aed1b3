//! The whole path across separate processes: platform, upstreams and nodes over TCP on loopback.

mod fixture;
mod processes;
