use std::time::Duration;

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serializer};
use serde_with::{DeserializeAs, SerializeAs};

/// Reads and writes a duration as text with a unit, such as `"250ms"`, `"3s"`, `"10m"` or `"24h"`.
#[derive(Debug)]
pub struct DurationText;

impl DurationText {
    /// Parses a whole number followed by `ms`, `s`, `m` or `h`.
    ///
    /// # Errors
    ///
    /// Fails with a message for the operator if the unit is missing or unknown, or if the number is
    /// missing or overflows.
    pub fn parse(text: &str) -> Result<Duration, String> {
        let digits = text
            .find(|letter: char| !letter.is_ascii_digit())
            .unwrap_or(text.len());
        let (number, unit) = text.split_at(digits);
        let scale = match unit {
            "ms" => 1,
            "s" => 1_000,
            "m" => 60_000,
            "h" => 3_600_000,
            _ => {
                return Err(format!(
                    "duration {text:?}: use a whole number with ms, s, m or h, such as \"250ms\""
                ));
            }
        };
        number
            .parse::<u64>()
            .ok()
            .and_then(|number| number.checked_mul(scale))
            .map(Duration::from_millis)
            .ok_or_else(|| format!("duration {text:?}: the number is missing or too large"))
    }

    /// Formats a duration in seconds if it is a multiple of one second, otherwise in milliseconds;
    /// fractions of a millisecond are dropped.
    #[must_use]
    pub fn format(duration: Duration) -> String {
        if duration.subsec_millis() == 0 && duration.as_secs() > 0 {
            format!("{}s", duration.as_secs())
        } else {
            format!("{}ms", duration.as_millis())
        }
    }
}

impl SerializeAs<Duration> for DurationText {
    fn serialize_as<S: Serializer>(source: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&Self::format(*source))
    }
}

impl<'de> DeserializeAs<'de, Duration> for DurationText {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        let text = String::deserialize(deserializer)?;
        Self::parse(&text).map_err(D::Error::custom)
    }
}
