use clap::ValueEnum;

/// The form of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum OutputFormat {
    /// Lines for people.
    Text,
    /// JSON for programs.
    Json,
}
