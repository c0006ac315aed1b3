//! The stand-in of a plain service.

mod call_fate;
mod call_guard;
mod plain_api;
mod plain_core;
mod plain_counters;
mod plain_settings;
mod plain_standin;

pub use plain_counters::PlainCounters;
pub use plain_settings::PlainSettings;
pub use plain_standin::PlainStandin;
