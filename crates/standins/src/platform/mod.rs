//! The stand-in of the platform: an object store and a list of instances.

mod instance_history;
mod outage_mode;
mod platform_api;
mod platform_counters;
mod platform_settings;
mod platform_standin;
mod platform_state;
mod version_history;

pub use outage_mode::OutageMode;
pub use platform_counters::PlatformCounters;
pub use platform_settings::PlatformSettings;
pub use platform_standin::PlatformStandin;
