use std::fmt;
use std::io::{LineWriter, Write};
use std::sync::atomic::{AtomicU64, Ordering};

use log::{LevelFilter, Log, Metadata, Record};
use serde_json::{Map, Value};
use simplelog::{Config, ConfigBuilder, WriteLogger};

use super::log_event::{EVENT_TARGET, render, to_text};
use super::log_rate_limiter::LogRateLimiter;
use super::{LogDrain, LogEvent, LogName, QueuedOutput};
use crate::error::{Error, ErrorKind};

/// Writes log records as JSON lines.
///
/// Events of this crate are already JSON and are written unchanged. Records of libraries are
/// wrapped in an event, so that line breaks and quotes in their text are escaped.
pub struct JsonLogger<W: Write + Send + 'static> {
    writer: Box<WriteLogger<LineWriter<W>>>,
}

impl JsonLogger<QueuedOutput> {
    /// Creates a logger that never blocks on `output` and limits the rate of lines per event.
    ///
    /// The level can be changed later with [`log::set_max_level`].
    ///
    /// # Panics
    ///
    /// Panics if the thread for the output cannot be spawned.
    #[must_use]
    pub fn bounded<O: Write + Send + 'static>(output: O) -> (Self, LogDrain) {
        LogRateLimiter::start();
        let (queued, drain) = QueuedOutput::start(output);
        (Self::new(LevelFilter::Trace, queued), drain)
    }
}

impl<W: Write + Send + 'static> JsonLogger<W> {
    /// Creates a logger that writes each line to `output` directly, without a rate limit.
    #[must_use]
    pub fn new(level: LevelFilter, output: W) -> Self {
        Self {
            writer: WriteLogger::new(level, plain_config(), LineWriter::new(output)),
        }
    }

    /// Installs the logger for the whole process, together with a hook that counts and logs panics.
    ///
    /// # Errors
    ///
    /// Fails if the process already has a logger.
    pub fn install(self, level: LevelFilter) -> Result<(), Error> {
        log::set_boxed_logger(Box::new(self)).map_err(|error| {
            Error::new(
                ErrorKind::Internal,
                format!("the logger cannot be installed: {error}"),
            )
        })?;
        log::set_max_level(level);
        install_panic_hook();
        Ok(())
    }
}

impl<W: Write + Send + 'static> fmt::Debug for JsonLogger<W> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("JsonLogger").finish_non_exhaustive()
    }
}

impl<W: Write + Send + 'static> Log for JsonLogger<W> {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.writer.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        if record.target() == EVENT_TARGET {
            self.writer.log(record);
            return;
        }
        // dropshot logs each request and connection at the info level. A healthy node logs nothing
        // per request, so info records of libraries are written only at the debug level.
        if record.level() == log::Level::Info && !log::log_enabled!(log::Level::Debug) {
            return;
        }
        if !LogRateLimiter::admits(LogName::Library) {
            return;
        }
        let fields = Map::from_iter([(
            "target".to_owned(),
            Value::String(record.target().to_owned()),
        )]);
        let text = to_text(record.args());
        let line = render(record.level().as_str(), LogName::Library, &text, &fields);
        self.writer.log(
            &Record::builder()
                .level(record.level())
                .target(EVENT_TARGET)
                .args(format_args!("{line}"))
                .build(),
        );
    }

    fn flush(&self) {
        self.writer.flush();
    }
}

/// The number of panics since the hook was installed. The hook belongs to the whole process.
static PANICS: AtomicU64 = AtomicU64::new(0);

/// Returns the number of panics of this process since its logger was installed.
#[must_use]
pub fn panic_count() -> u64 {
    PANICS.load(Ordering::Relaxed)
}

/// Counts a panic of any thread and logs it as an event, then calls the previous panic hook.
fn install_panic_hook() {
    let previous = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        PANICS.fetch_add(1, Ordering::Relaxed);
        LogEvent::new(LogName::InternalFault)
            .with("reason", panic)
            .send();
        previous(panic);
    }));
}

/// Disables all prefixes of `simplelog`, so that a line contains only the message.
fn plain_config() -> Config {
    ConfigBuilder::new()
        .set_max_level(LevelFilter::Off)
        .set_time_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .build()
}
