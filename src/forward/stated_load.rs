use std::ops::RangeInclusive;

use http::HeaderValue;

/// The load that an upstream states in its responses.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StatedLoad {
    /// Number of requests that it runs.
    pub running: u32,
    /// Number of requests that wait.
    pub waiting: u32,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// How many times as long as usual work takes on its machine, or `None` if it does not say so.
    pub slowdown: Option<f64>,
}

/// Greatest number of requests and slots that is believed; no upstream of the known deployments has
/// a hundredth of it.
const MAX_COUNT: u32 = 100_000;

/// The slowdowns that are believed, in hundredths; others say nothing about a machine.
const SLOWDOWNS: RangeInclusive<u32> = 10..=10_000;

impl StatedLoad {
    /// Parses a header value: the numbers of running and waiting requests and of slots, separated by
    /// commas, and optionally the slowdown in hundredths.
    ///
    /// Returns `None` if a number is missing, malformed or implausible. Further numbers are ignored.
    #[must_use]
    pub fn from_header(value: &HeaderValue) -> Option<Self> {
        let mut fields = value.to_str().ok()?.split(',').map(str::trim);
        let mut count = || {
            let count: u32 = fields.next()?.parse().ok()?;
            (count <= MAX_COUNT).then_some(count)
        };
        let (running, waiting, slots) = (count()?, count()?, count()?);
        let slowdown = match fields.next() {
            None => None,
            Some(text) => {
                let hundredths: u32 = text.parse().ok()?;
                if !SLOWDOWNS.contains(&hundredths) {
                    return None;
                }
                Some(f64::from(hundredths) / 100.0)
            }
        };
        Some(Self {
            running,
            waiting,
            slots,
            slowdown,
        })
    }
}
