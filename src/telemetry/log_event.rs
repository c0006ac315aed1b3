use std::fmt::Display;
use std::time::{SystemTime, UNIX_EPOCH};

use serde_json::{Map, Value};

use super::LogName;
use super::log_rate_limiter::LogRateLimiter;

/// The log target of events; the logger writes their text unchanged.
pub(super) const EVENT_TARGET: &str = "comfreychute::event";

/// One log line under construction.
///
/// Nothing is formatted if the level of the event is disabled or its rate limit is exceeded.
///
/// ```
/// use comfreychute::telemetry::{LogEvent, LogName};
///
/// LogEvent::new(LogName::LoadFailed)
///     .with("upstream", "engine-7")
///     .with("reason", "connection refused")
///     .send();
/// ```
#[derive(Debug)]
#[must_use = "the event is logged by `send`"]
pub struct LogEvent {
    name: LogName,
    fields: Option<Map<String, Value>>,
}

impl LogEvent {
    /// Starts an event, which takes a token from its rate limit if its level is enabled.
    pub fn new(name: LogName) -> Self {
        let is_enabled =
            log::log_enabled!(target: EVENT_TARGET, name.level()) && LogRateLimiter::admits(name);
        Self {
            name,
            fields: is_enabled.then(Map::new),
        }
    }

    /// Adds a field whose value is written as a JSON string, of which at most 1,024 bytes are kept.
    pub fn with(mut self, key: &str, value: impl Display) -> Self {
        if let Some(fields) = &mut self.fields {
            fields.insert(key.to_owned(), Value::String(to_text(&value)));
        }
        self
    }

    /// Adds a field whose value is written as a JSON number.
    pub fn with_count(mut self, key: &str, value: u64) -> Self {
        if let Some(fields) = &mut self.fields {
            fields.insert(key.to_owned(), Value::from(value));
        }
        self
    }

    /// Writes the event to the logger of the process.
    pub fn send(self) {
        if let Some(line) = self.to_line() {
            log::log!(target: EVENT_TARGET, self.name.level(), "{line}");
        }
    }

    /// Renders the line, or returns `None` if the level is disabled or the rate limit is exceeded.
    #[must_use]
    pub fn to_line(&self) -> Option<String> {
        let fields = self.fields.as_ref()?;
        let level = self.name.level().as_str();
        Some(render(level, self.name, &self.name.to_string(), fields))
    }
}

/// Maximum number of bytes of a value. Callers choose some of them, such as the ids of their attempts.
const MAX_VALUE_BYTES: usize = 1024;

/// Formats a value and cuts it off at [`MAX_VALUE_BYTES`].
pub(super) fn to_text(value: &impl Display) -> String {
    let mut text = value.to_string();
    if text.len() > MAX_VALUE_BYTES {
        text.truncate(text.floor_char_boundary(MAX_VALUE_BYTES));
        text.push('…');
        text.shrink_to_fit();
    }
    text
}

/// Renders one JSON object; the fixed fields come first and cannot be overridden.
pub(super) fn render(
    level: &str,
    name: LogName,
    message: &str,
    fields: &Map<String, Value>,
) -> String {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let fixed = [
        (
            "time",
            Value::from(timestamp(now.as_secs(), now.subsec_millis())),
        ),
        ("level", Value::from(level.to_ascii_lowercase())),
        ("event", Value::from(name.as_str())),
        ("message", Value::from(message)),
    ];
    let mut line = String::from("{");
    for (key, value) in &fixed {
        push_field(&mut line, key, value);
    }
    for (key, value) in fields {
        if fixed.iter().all(|(name, _)| name != key) {
            push_field(&mut line, key, value);
        }
    }
    line.push('}');
    line
}

fn push_field(line: &mut String, key: &str, value: &Value) {
    if !line.ends_with('{') {
        line.push(',');
    }
    line.push_str(&Value::from(key).to_string());
    line.push(':');
    line.push_str(&value.to_string());
}

/// Formats a time since the Unix epoch as RFC 3339 in UTC.
#[must_use]
pub(crate) fn timestamp(seconds: u64, millis: u32) -> String {
    let (days, rest) = (seconds / 86_400, seconds % 86_400);
    // Civil date from a day count: eras of 400 years, with the year starting in March so that the
    // leap day is the last day of its year.
    let shifted = days + 719_468;
    let era = shifted / 146_097;
    let day_of_era = shifted % 146_097;
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let shifted_month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * shifted_month + 2) / 5 + 1;
    let month = if shifted_month < 10 {
        shifted_month + 3
    } else {
        shifted_month - 9
    };
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    format!(
        "{year:04}-{month:02}-{day:02}T{:02}:{:02}:{:02}.{millis:03}Z",
        rest / 3_600,
        rest / 60 % 60,
        rest % 60
    )
}
