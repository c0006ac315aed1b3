use std::fmt;
use std::str::FromStr;

use crate::error::{Error, ErrorKind};

/// Identifies one request of a caller across all instances that handle it.
///
/// The text form is that of a UUID, as in the `x-request-id` header of each response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(u128);

impl RequestId {
    /// Wraps a number, such as the random one that the entry generates for a request.
    #[must_use]
    pub const fn from_u128(number: u128) -> Self {
        Self(number)
    }

    /// Returns the identifier as a number, the form in which peers exchange it.
    #[must_use]
    pub const fn to_u128(self) -> u128 {
        self.0
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let digits = format!("{:032x}", self.0);
        let parts = [
            &digits[..8],
            &digits[8..12],
            &digits[12..16],
            &digits[16..20],
            &digits[20..],
        ];
        f.write_str(&parts.join("-"))
    }
}

impl FromStr for RequestId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        u128::from_str_radix(&text.replace('-', ""), 16)
            .map(Self)
            .map_err(|error| {
                Error::new(
                    ErrorKind::BadRequest,
                    format!("request id {text:?}: {error}"),
                )
            })
    }
}
