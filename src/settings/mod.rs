//! The settings of a node, read from a TOML file, environment variables and flags.
//!
//! Environment variables are named `COMFREYCHUTE_<SECTION>_<KEY>` and override the file; flags of
//! the form `section.key=value` override both.

mod admin_settings;
mod caller_settings;
mod instance_settings;
mod limit_settings;
mod log_level;
mod node_settings;
mod peer_settings;
mod platform_settings;
mod raw_settings;
mod secret_text;
mod seed_peer;
mod setting_sources;
mod settings_check;
mod telemetry_settings;

pub use admin_settings::AdminSettings;
pub use caller_settings::CallerSettings;
pub use instance_settings::InstanceSettings;
pub use limit_settings::LimitSettings;
pub use log_level::LogLevel;
pub use node_settings::NodeSettings;
pub use peer_settings::PeerSettings;
pub use platform_settings::PlatformSettings;
pub use secret_text::SecretText;
pub use seed_peer::SeedPeer;
pub use setting_sources::SettingSources;
pub use telemetry_settings::TelemetrySettings;
