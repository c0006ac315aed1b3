//! Settings that change at run time, and what the stand-in binaries share.

mod ready_line;
mod settings_cell;

pub use ready_line::ReadyLine;
pub use settings_cell::SettingsCell;

/// Returns the settings that a command line without flags gives.
///
/// The flags thereby are the only place that states default values.
///
/// # Panics
///
/// Panics if a flag without a default value is required.
#[must_use]
pub fn default_settings<T: clap::Args>() -> T {
    let matches = T::augment_args(clap::Command::new("defaults")).get_matches_from([""]);
    T::from_arg_matches(&matches).expect("every flag should have a default value")
}
