use std::process::ExitCode;

use crate::error::ErrorKind;

/// The exit code of a subcommand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandExit {
    /// Done.
    Done,
    /// Refused, or faults were found.
    Refused,
    /// The command line was not understood.
    Usage,
    /// The platform or a node did not answer.
    Unreachable,
    /// Another edit was accepted first.
    Conflict,
}

impl CommandExit {
    /// Returns the number that the process exits with.
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

    /// Returns the exit that an error leads to.
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
