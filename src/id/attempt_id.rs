use std::fmt;
use std::str::FromStr;

use crate::error::{Error, ErrorKind};
use crate::id::RequestId;

/// Identifies one dispatch of a request to an upstream.
///
/// The text form is `<request id>-<number>`. Upstreams repeat it in each response, so a response
/// that belongs to another attempt is detected and dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    request: RequestId,
    number: u32,
}

impl AttemptId {
    /// Creates the identifier of attempt `number`, counted from 1, of a request.
    #[must_use]
    pub const fn new(request: RequestId, number: u32) -> Self {
        Self { request, number }
    }

    /// Returns the request that the attempt belongs to.
    #[must_use]
    pub const fn request(self) -> RequestId {
        self.request
    }

    /// Returns the number of the attempt, counted from 1.
    #[must_use]
    pub const fn number(self) -> u32 {
        self.number
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.request, self.number)
    }
}

impl FromStr for AttemptId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let bad = || {
            Error::new(
                ErrorKind::BadRequest,
                format!("attempt id {text:?} is not <request>-<number>"),
            )
        };
        let (request, number) = text.rsplit_once('-').ok_or_else(bad)?;
        let number = number.parse().ok().ok_or_else(bad)?;
        Ok(Self::new(request.parse()?, number))
    }
}
