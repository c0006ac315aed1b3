use log::LevelFilter;
use serde::Deserialize;

/// The least severe level that is logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Faults that require an operator to act.
    Error,
    /// Faults that the node handles itself.
    Warn,
    /// Changes of state, such as ownership and configuration.
    Info,
    /// Events of single requests and orders, and the info messages of libraries.
    Debug,
    /// All messages.
    Trace,
}

impl LogLevel {
    /// Converts to the filter type of the `log` crate.
    #[must_use]
    pub const fn to_filter(self) -> LevelFilter {
        match self {
            Self::Error => LevelFilter::Error,
            Self::Warn => LevelFilter::Warn,
            Self::Info => LevelFilter::Info,
            Self::Debug => LevelFilter::Debug,
            Self::Trace => LevelFilter::Trace,
        }
    }
}
