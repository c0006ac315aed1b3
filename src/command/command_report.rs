use std::io::{ErrorKind, Write};
use std::process::ExitCode;

use serde_json::{Value, json};

use super::{CommandExit, OutputFormat};
use crate::error::{Error, InputFault, RunState};

/// What a subcommand has to say.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommandReport {
    /// The exit code.
    pub exit: CommandExit,
    /// The report for people.
    pub text: String,
    /// The report for programs.
    pub json: Value,
    /// The form that was asked for.
    pub format: OutputFormat,
}

impl CommandReport {
    /// Reports a success.
    #[must_use]
    pub fn done(text: impl Into<String>, json: Value) -> Self {
        Self::new(CommandExit::Done, text, json)
    }

    /// Reports with an exit code.
    #[must_use]
    pub fn new(exit: CommandExit, text: impl Into<String>, json: Value) -> Self {
        Self {
            exit,
            text: text.into(),
            json,
            format: OutputFormat::Text,
        }
    }

    /// Reports an error.
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

    /// Reports faults in files, one per line.
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

    /// Chooses the form.
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
            // A reader such as `head` that has seen enough is no fault.
            _ => self.exit.into(),
        }
    }
}

pub(super) fn print_line(output: &mut impl Write, text: &str) -> std::io::Result<()> {
    writeln!(output, "{text}")?;
    output.flush()
}
