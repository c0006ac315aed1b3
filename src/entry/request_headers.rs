use std::time::Duration;

use http::HeaderMap;

use crate::error::{Error, ErrorKind};
use crate::id::{CallerId, RequestRank};

/// Maximum length of the value of a header that is evaluated here, in bytes.
const MAX_VALUE_BYTES: usize = 256;
/// Longest deadline that a caller may request.
const MAX_DEADLINE: Duration = Duration::from_hours(24);

/// The validated headers that determine how a request is handled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHeaders {
    /// `x-rank`; `None` if absent, in which case the rank of the route applies.
    pub rank: Option<RequestRank>,
    /// `x-deadline-ms`; `None` if absent, in which case the timeout of the route applies.
    pub deadline: Option<Duration>,
    /// `idempotency-key`; `None` if absent.
    pub idempotency_key: Option<String>,
    /// `x-caller`, or `anonymous` if absent.
    pub caller: CallerId,
    /// `content-type`, or `application/json` if absent.
    pub content_type: String,
}

impl RequestHeaders {
    /// Parses and validates the headers.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::BadRequest`] if a value is not visible ASCII, is empty or is too long,
    /// if the rank is unknown, or if the deadline is zero, not a whole number of milliseconds or
    /// longer than 24 hours.
    pub fn from_map(map: &HeaderMap) -> Result<Self, Error> {
        let rank = header_value(map, "x-rank")?.map(str::parse).transpose()?;
        let deadline = header_value(map, "x-deadline-ms")?
            .map(parse_deadline)
            .transpose()?;
        let caller = header_value(map, "x-caller")?.unwrap_or("anonymous");
        Ok(Self {
            rank,
            deadline,
            idempotency_key: header_value(map, "idempotency-key")?.map(ToOwned::to_owned),
            caller: CallerId::from_name(caller),
            content_type: header_value(map, "content-type")?
                .unwrap_or("application/json")
                .to_owned(),
        })
    }
}

fn header_value<'map>(map: &'map HeaderMap, name: &str) -> Result<Option<&'map str>, Error> {
    let Some(value) = map.get(name) else {
        return Ok(None);
    };
    let value = value
        .to_str()
        .map_err(|error| Error::new(ErrorKind::BadRequest, format!("header {name}: {error}")))?
        .trim();
    if value.is_empty() || value.len() > MAX_VALUE_BYTES {
        return Err(Error::new(
            ErrorKind::BadRequest,
            format!("header {name}: use 1 to {MAX_VALUE_BYTES} characters"),
        ));
    }
    Ok(Some(value))
}

fn parse_deadline(value: &str) -> Result<Duration, Error> {
    value
        .parse()
        .ok()
        .map(Duration::from_millis)
        .filter(|deadline| !deadline.is_zero() && *deadline <= MAX_DEADLINE)
        .ok_or_else(|| {
            let detail = format!(
                "header x-deadline-ms {value:?}: use whole milliseconds, from 1 to 86400000"
            );
            Error::new(ErrorKind::BadRequest, detail)
        })
}
