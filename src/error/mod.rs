//! The error type of the crate and the faults that are reported for settings and tables.

mod error_kind;
mod input_fault;
mod input_place;
mod run_state;

use std::fmt;
use std::time::Duration;

pub use error_kind::ErrorKind;
pub use input_fault::InputFault;
pub use input_place::InputPlace;
pub use run_state::RunState;

/// A result whose error is [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// An error with a kind that names the remedy, a detail and the run state of the request.
///
/// The type is one pointer wide, so that results stay small on the request path.
pub struct Error {
    inner: Box<ErrorInner>,
}

struct ErrorInner {
    kind: ErrorKind,
    detail: String,
    run_state: RunState,
    retry_after: Option<Duration>,
}

impl Error {
    /// Creates an error whose run state is "not run".
    #[must_use]
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self {
            inner: Box::new(ErrorInner {
                kind,
                detail: detail.into(),
                run_state: RunState::NotRun,
                retry_after: None,
            }),
        }
    }

    /// Sets the run state.
    #[must_use]
    pub fn with_run_state(mut self, run_state: RunState) -> Self {
        self.inner.run_state = run_state;
        self
    }

    /// Sets the delay after which a retry may succeed.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.inner.retry_after = Some(retry_after);
        self
    }

    /// Returns the kind, which determines the error code and the remedy.
    #[must_use]
    pub fn kind(&self) -> ErrorKind {
        self.inner.kind
    }

    /// Borrows the description of this occurrence.
    #[must_use]
    pub fn detail(&self) -> &str {
        &self.inner.detail
    }

    /// Returns whether the failed request ran at an upstream.
    #[must_use]
    pub fn run_state(&self) -> RunState {
        self.inner.run_state
    }

    /// Returns the delay after which a retry may succeed, if it is known.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        self.inner.retry_after
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.inner.kind, self.inner.detail)
    }
}

impl fmt::Debug for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Error")
            .field("kind", &self.inner.kind)
            .field("detail", &self.inner.detail)
            .field("run_state", &self.inner.run_state)
            .field("retry_after", &self.inner.retry_after)
            .finish()
    }
}

impl std::error::Error for Error {}
