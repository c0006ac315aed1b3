//! Tests of the log rate limits and of blocked outputs.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use comfreychute::telemetry::{JsonLogger, LineBucket, LogEvent, LogName, QueuedOutput};
use log::LevelFilter;
use serde_json::Value;

/// In-memory output that tests can read.
#[derive(Debug, Clone, Default)]
struct SharedOutput(Arc<Mutex<Vec<u8>>>);

impl SharedOutput {
    fn lines(&self) -> Vec<Value> {
        let output = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        String::from_utf8_lossy(&output)
            .lines()
            .map(|line| serde_json::from_str(line).expect("each line is JSON"))
            .collect()
    }

    fn wait_for(&self, event: &str) -> Value {
        let limit = Instant::now() + Duration::from_secs(10);
        loop {
            if let Some(line) = self.lines().into_iter().find(|line| line["event"] == event) {
                return line;
            }
            assert!(Instant::now() < limit, "no line {event}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Write for SharedOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let mut output = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        output.extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Output whose writes block until it is released.
struct BlockedOutput {
    release: Receiver<()>,
    output: SharedOutput,
}

impl Write for BlockedOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        // Returns an error once the sender is dropped, which releases all writes.
        let _released = self.release.recv();
        self.output.write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn blocked_output() -> (BlockedOutput, Sender<()>, SharedOutput) {
    let (release, waiting) = channel();
    let output = SharedOutput::default();
    let blocked = BlockedOutput {
        release: waiting,
        output: output.clone(),
    };
    (blocked, release, output)
}

/// Guards against a log that grows with the load: a burst of refusals wrote one line for each.
#[test]
fn bucket_limits_lines_and_counts_suppressed_ones() {
    let mut bucket = LineBucket::new();

    let admitted = (0..100_000_u64)
        .filter(|number| bucket.admits_line(Duration::from_micros(number * 100)))
        .count();

    // A burst of 400 lines, plus 50 per second over the 9.9999 s between the first and the last call,
    // which adds 499.995 tokens and so admits 499 lines.
    assert_eq!(admitted, 899);
    assert_eq!(bucket.take_suppressed(), 100_000 - 899);
    assert_eq!(bucket.take_suppressed(), 0);
}

/// Guards against refilling the bucket twice for the same period when a clock reading is older than
/// the previous one.
#[test]
fn an_older_clock_reading_does_not_refill_the_bucket() {
    let mut bucket = LineBucket::new();
    while bucket.admits_line(Duration::from_secs(1)) {}

    let early = bucket.admits_line(Duration::ZERO);
    let late = bucket.admits_line(Duration::from_secs(1));

    assert!(!early && !late);
}

/// Guards against events that share a bucket or have none; the bucket index is `name as usize`.
#[test]
fn every_event_has_its_own_index() {
    for (index, name) in LogName::ALL.iter().enumerate() {
        assert_eq!(*name as usize, index, "{name}");
    }
}

/// Guards against requests that block on a log output that is not read, and against dropped lines
/// that are not reported.
#[test]
fn a_blocked_output_does_not_block_the_logger() {
    let (blocked, release, output) = blocked_output();
    let (mut queued, drain) = QueuedOutput::start(blocked);
    let started = Instant::now();

    for number in 0..20_000 {
        writeln!(queued, "{{\"event\":\"line\",\"number\":{number}}}").expect("lines are queued");
    }
    drain.wait(Duration::from_millis(50));
    let took = started.elapsed();
    drop(release);

    assert!(took < Duration::from_secs(2), "{took:?}");
    let missing = output.wait_for("lines_left_out");
    assert_eq!(missing["left_out"], "any");
    let written = output
        .lines()
        .iter()
        .filter(|line| line["event"] == "line")
        .count();
    let dropped = missing["count"].as_u64().expect("a number");
    assert!(dropped > 10_000, "{dropped}");
    drain.wait(Duration::from_secs(5));
    assert!(written > 0);
}

/// Guards against a burst of one event that suppresses lines of other events.
#[test]
fn a_burst_of_one_event_does_not_suppress_others() {
    let output = SharedOutput::default();
    let (logger, drain) = JsonLogger::bounded(output.clone());
    logger.install(LevelFilter::Info).expect("no other logger");

    for _ in 0..5_000 {
        LogEvent::new(LogName::RequestRefused)
            .with("attempt", "a\n\"b")
            .send();
    }
    LogEvent::new(LogName::OwnershipTaken).send();
    drain.wait(Duration::from_secs(5));

    output.wait_for("ownership_taken");
    let lines = output.lines();
    let refused = lines
        .iter()
        .filter(|line| line["event"] == "request_refused")
        .count();
    assert!((400..1_000).contains(&refused), "{refused}");
    let missing = output.wait_for("lines_left_out");
    assert_eq!(missing["left_out"], "request_refused");
    assert_eq!(missing["count"], 5_000 - refused);
}
