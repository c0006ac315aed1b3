use std::process::ExitCode;

use crate::error::ErrorKind;

/// The outcome of a subcommand, which determines the exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandExit {
    /// The subcommand succeeded; exit code 0.
    Done,
    /// The request was refused, or faults were found; exit code 1.
    Refused,
    /// The command line is invalid; exit code 2.
    Usage,
    /// The platform or a node did not answer; exit code 3.
    Unreachable,
    /// Another edit was accepted first; exit code 4.
    Conflict,
}

impl CommandExit {
    /// Returns the exit code of the process.
    #[must_use]
    pub const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Refused => 1,
            Self::Usage => 2,
            Self::Unreachable => 3,
            Self::Conflict => 4,
        }
    }

    /// Returns the outcome for an error of the given kind.
    #[must_use]
    pub const fn from_kind(kind: ErrorKind) -> Self {
        match kind {
            ErrorKind::Platform | ErrorKind::Peer | ErrorKind::Unavailable => Self::Unreachable,
            ErrorKind::Conflict => Self::Conflict,
            _ => Self::Refused,
        }
    }
}

impl From<CommandExit> for ExitCode {
    fn from(exit: CommandExit) -> Self {
        Self::from(exit.code())
    }
}
