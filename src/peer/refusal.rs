use std::time::Duration;

use super::RefusalBody;
use crate::error::{Error, ErrorKind, RunState};

impl RefusalBody {
    /// Encodes an error for a peer.
    #[must_use]
    pub fn from_error(error: &Error) -> Self {
        Self {
            code: error.kind().as_str().to_owned(),
            detail: error.detail().to_owned(),
            run_state: error.run_state().as_str().to_owned(),
            retry_after_ms: error
                .retry_after()
                .and_then(|time| u64::try_from(time.as_millis()).ok())
                .unwrap_or(0),
        }
    }

    /// Decodes the error of a peer; an invalid run state becomes [`RunState::Unknown`].
    #[must_use]
    pub fn to_error(&self) -> Error {
        let states = [RunState::NotRun, RunState::Ran];
        let state = states
            .into_iter()
            .find(|state| state.as_str() == self.run_state)
            .unwrap_or(RunState::Unknown);
        let error =
            Error::new(ErrorKind::from_code(&self.code), &self.detail).with_run_state(state);
        if self.retry_after_ms == 0 {
            error
        } else {
            error.with_retry_after(Duration::from_millis(self.retry_after_ms))
        }
    }
}
