use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Map, Value};

use super::LogName;
use super::log_event::render;
use super::log_rate_limiter::LogRateLimiter;

/// Queues lines for a thread that writes them, so that a blocked output never blocks the logger.
///
/// Lines are dropped and counted while the queue is full.
#[derive(Debug)]
pub struct QueuedOutput {
    partial: Vec<u8>,
    lines: SyncSender<Vec<u8>>,
    counts: Arc<LineCounts>,
}

/// Handle to wait for the queued lines to be written before the process exits.
#[derive(Debug)]
pub struct LogDrain {
    counts: Arc<LineCounts>,
}

#[derive(Debug, Default)]
struct LineCounts {
    queued: AtomicU64,
    written: AtomicU64,
    dropped: AtomicU64,
    /// The length of the queued lines in bytes.
    bytes: AtomicUsize,
}

/// Maximum number of queued lines; at 300 bytes per line they take about a megabyte.
const QUEUE_CAPACITY: usize = 4096;

/// Maximum number of bytes of the queued lines, since callers choose the length of some.
const QUEUE_BYTES: usize = 2 * 1024 * 1024;

/// Interval at which suppressed and dropped lines are reported.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which [`LogDrain::wait`] polls the queue.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);

impl QueuedOutput {
    /// Spawns the thread that writes to `output`, and returns the queue and a handle to drain it.
    ///
    /// # Panics
    ///
    /// Panics if the thread cannot be spawned, like [`std::thread::spawn`].
    #[must_use]
    pub fn start<W: Write + Send + 'static>(output: W) -> (Self, LogDrain) {
        let (lines, queue) = sync_channel(QUEUE_CAPACITY);
        let counts = Arc::new(LineCounts::default());
        let writer = Arc::clone(&counts);
        thread::spawn(move || write_lines(&queue, output, &writer));
        let drain = LogDrain {
            counts: Arc::clone(&counts),
        };
        let queued = Self {
            partial: Vec::new(),
            lines,
            counts,
        };
        (queued, drain)
    }
}

impl QueuedOutput {
    /// Queues a line and returns whether there was room for it.
    fn queue(&self, line: Vec<u8>) -> bool {
        let length = line.len();
        let before = self.counts.bytes.fetch_add(length, Ordering::AcqRel);
        let is_queued = before + length <= QUEUE_BYTES && self.lines.try_send(line).is_ok();
        if !is_queued {
            self.counts.bytes.fetch_sub(length, Ordering::AcqRel);
        }
        is_queued
    }
}

impl Write for QueuedOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.partial.extend_from_slice(buf);
        while let Some(end) = self.partial.iter().position(|byte| *byte == b'\n') {
            let rest = self.partial.split_off(end + 1);
            let line = std::mem::replace(&mut self.partial, rest);
            if self.queue(line) {
                self.counts.queued.fetch_add(1, Ordering::AcqRel);
            } else {
                self.counts.dropped.fetch_add(1, Ordering::AcqRel);
            }
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl LogDrain {
    /// Blocks until the queued lines are written or `limit` has passed.
    pub fn wait(&self, limit: Duration) {
        let until = Instant::now() + limit;
        let is_pending = || {
            let written = self.counts.written.load(Ordering::Acquire);
            written < self.counts.queued.load(Ordering::Acquire)
        };
        while is_pending() && Instant::now() < until {
            thread::sleep(DRAIN_POLL_INTERVAL);
        }
    }
}

/// Writes queued lines until the logger is dropped, and reports the number of suppressed and
/// dropped lines every second.
fn write_lines(queue: &Receiver<Vec<u8>>, mut output: impl Write, counts: &LineCounts) {
    let mut reported_at = Instant::now();
    loop {
        match queue.recv_timeout(REPORT_INTERVAL) {
            Ok(line) => {
                // A failed write to the log cannot be reported anywhere else.
                let _written = output.write_all(&line).and_then(|()| output.flush());
                counts.bytes.fetch_sub(line.len(), Ordering::AcqRel);
                counts.written.fetch_add(1, Ordering::AcqRel);
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        if reported_at.elapsed() >= REPORT_INTERVAL {
            reported_at = Instant::now();
            for line in suppression_reports(counts.dropped.swap(0, Ordering::AcqRel)) {
                let _written = output.write_all(line.as_bytes());
            }
        }
    }
}

/// Renders a line for each event with suppressed lines, and one if lines were dropped.
fn suppression_reports(dropped: u64) -> Vec<String> {
    let to_line = |event: &str, reason: &str, count: u64| {
        let fields = Map::from_iter([
            ("left_out".to_owned(), Value::from(event)),
            ("reason".to_owned(), Value::from(reason)),
            ("count".to_owned(), Value::from(count)),
        ]);
        let name = LogName::LinesLeftOut;
        let level = name.level().as_str();
        format!("{}\n", render(level, name, &name.to_string(), &fields))
    };
    let limited = LogRateLimiter::take_suppressed()
        .into_iter()
        .map(|(name, count)| to_line(name.as_str(), "the rate limit was exceeded", count));
    let unread = (dropped > 0).then(|| to_line("any", "the output was not read in time", dropped));
    limited.chain(unread).collect()
}
