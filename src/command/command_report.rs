use std::io::{ErrorKind, Write};
use std::process::ExitCode;

use serde_json::{Value, json};

use super::{CommandExit, OutputFormat};
use crate::error::{Error, InputFault, RunState};

/// The result of a subcommand, as text and as JSON.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommandReport {
    /// The outcome, which determines the exit code.
    pub exit: CommandExit,
    /// The human-readable report.
    pub text: String,
    /// The machine-readable report.
    pub json: Value,
    /// The requested output format.
    pub format: OutputFormat,
}

impl CommandReport {
    /// Creates a report with [`CommandExit::Done`].
    #[must_use]
    pub fn done(text: impl Into<String>, json: Value) -> Self {
        Self::new(CommandExit::Done, text, json)
    }

    /// Creates a report in the text format.
    #[must_use]
    pub fn new(exit: CommandExit, text: impl Into<String>, json: Value) -> Self {
        Self {
            exit,
            text: text.into(),
            json,
            format: OutputFormat::Text,
        }
    }

    /// Creates a report of an error, with the exit code for its kind.
    #[must_use]
    pub fn from_error(error: &Error) -> Self {
        let exit = CommandExit::from_kind(error.kind());
        let is_unknown = error.run_state() == RunState::Unknown;
        Self::new(
            exit,
            format!("error: {error}"),
            json!({
                "error": error.kind().as_str(),
                "detail": error.detail(),
                "is_outcome_unknown": is_unknown,
            }),
        )
    }

    /// Creates a report of faults in tables or settings, one per line.
    #[must_use]
    pub fn from_faults(faults: &[InputFault]) -> Self {
        let count = faults.len();
        let noun = if count == 1 { "fault" } else { "faults" };
        let text: String = faults
            .iter()
            .map(InputFault::to_string)
            .chain([format!("error: {count} {noun} found; nothing was changed")])
            .collect::<Vec<_>>()
            .join("\n");
        let items: Vec<Value> = faults
            .iter()
            .map(|fault| {
                json!({
                    "place": fault.place.to_string(),
                    "subject": fault.subject,
                    "problem": fault.problem,
                    "remedy": fault.remedy,
                })
            })
            .collect();
        Self::new(CommandExit::Refused, text, json!({ "faults": items }))
    }

    /// Sets the output format.
    #[must_use]
    pub const fn with_format(mut self, format: OutputFormat) -> Self {
        self.format = format;
        self
    }

    /// Prints the report: JSON and successful text to standard output, other text to standard
    /// error.
    #[must_use]
    pub fn print(&self) -> ExitCode {
        let result = match self.format {
            OutputFormat::Json => print_line(&mut std::io::stdout(), &self.json.to_string()),
            OutputFormat::Text if self.text.is_empty() => Ok(()),
            OutputFormat::Text if self.exit == CommandExit::Done => {
                print_line(&mut std::io::stdout(), &self.text)
            }
            OutputFormat::Text => print_line(&mut std::io::stderr(), &self.text),
        };
        match result {
            Err(error) if error.kind() != ErrorKind::BrokenPipe => CommandExit::Refused.into(),
            // A closed pipe is no error, because readers such as `head` close their input early.
            _ => self.exit.into(),
        }
    }
}

pub(super) fn print_line(output: &mut impl Write, text: &str) -> std::io::Result<()> {
    writeln!(output, "{text}")?;
    output.flush()
}
