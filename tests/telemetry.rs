//! Tests of log lines and metrics.

use std::collections::BTreeSet;
use std::io::Write;
use std::net::UdpSocket;
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

use comfreychute::telemetry::{
    JsonLogger, LogEvent, LogName, MetricName, MetricSink, TimerValue, to_slog,
};
use log::LevelFilter;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::Value;

/// In-memory output of the logger that tests can read.
#[derive(Debug, Clone, Default)]
struct SharedOutput(Arc<Mutex<Vec<u8>>>);

impl Write for SharedOutput {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        let mut output = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        output.extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Installs a logger at the info level on the first call, and returns its output.
fn install_logger() -> &'static SharedOutput {
    static OUTPUT: OnceLock<SharedOutput> = OnceLock::new();
    OUTPUT.get_or_init(|| {
        let output = SharedOutput::default();
        JsonLogger::new(LevelFilter::Info, output.clone())
            .install(LevelFilter::Info)
            .expect("the process has no other logger");
        output
    })
}

/// Parses the logged lines that contain `mark`.
fn lines_with(mark: &str) -> Vec<Value> {
    let output = install_logger()
        .0
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    String::from_utf8_lossy(&output)
        .lines()
        .filter(|line| line.contains(mark))
        .map(|line| serde_json::from_str(line).expect("each line is JSON"))
        .collect()
}

/// Guards against log lines without the fixed fields that tools rely on.
#[test]
fn an_event_has_the_fixed_fields_first() {
    install_logger();

    LogEvent::new(LogName::LoadFailed)
        .with("upstream", "engine-7")
        .with_count("attempts", 3)
        .with("mark", "fixed-fields")
        .send();

    let lines = lines_with("fixed-fields");
    assert_eq!(lines.len(), 1);
    assert_eq!(lines[0]["event"], "load_failed");
    assert_eq!(lines[0]["level"], "warn");
    assert_eq!(lines[0]["upstream"], "engine-7");
    assert_eq!(lines[0]["attempts"], 3);
    let time = lines[0]["time"].as_str().expect("the time is text");
    assert!(time.len() == 24 && time.ends_with('Z'), "{time}");
    let output = install_logger()
        .0
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    assert!(output.starts_with(b"{\"time\":"));
}

/// Guards against callers that forge log lines or fixed fields through values with quotes and line
/// breaks.
#[test]
fn untrusted_values_are_escaped() {
    install_logger();
    let hostile = "x\"}\n{\"event\":\"forged\",\"mark\":\"hostile-1\"}\r\u{2028}\u{0}";

    LogEvent::new(LogName::LoadFailed)
        .with("event", "forged")
        .with("time", "forged")
        .with(hostile, "key")
        .with("mark", format!("hostile-1 {hostile}"))
        .send();

    let lines = lines_with("hostile-1");
    assert_eq!(lines.len(), 1);
    assert_eq!(lines[0]["event"], "load_failed");
    assert_eq!(lines[0][hostile], "key");
}

/// Guards against library messages that break the JSON lines, and against the lines that dropshot
/// logs per request.
#[test]
fn library_records_are_wrapped_and_info_records_are_suppressed() {
    install_logger();

    log::warn!(target: "some_library", "first\nsecond \"library-1\"");
    log::info!(target: "dropshot", "accepted connection library-1");
    slog::warn!(to_slog(), "bridged library-1");

    let lines = lines_with("library-1");
    let messages: Vec<&str> = lines
        .iter()
        .filter_map(|line| line["message"].as_str())
        .collect();
    assert_eq!(messages.len(), 2, "{lines:?}");
    assert_eq!(messages[0], "first\nsecond \"library-1\"");
    assert!(messages[1].contains("bridged"));
    assert!(lines.iter().all(|line| line["event"] == "library"));
}

/// Guards against rendering a line per request when the debug level is disabled.
#[test]
fn events_below_the_level_are_not_rendered() {
    install_logger();

    let event = LogEvent::new(LogName::RequestFinished).with("request", "1");

    assert_eq!(event.to_line(), None);
}

/// Guards against two events with the same name, and against events without a message.
#[test]
fn event_names_are_unique_and_have_a_message() {
    let names: BTreeSet<&str> = LogName::ALL.iter().map(|name| name.as_str()).collect();

    assert_eq!(names.len(), LogName::ALL.len());
    assert!(LogName::ALL.iter().all(|name| !name.to_string().is_empty()));
}

/// Guards against warnings and errors that the operations page does not explain.
#[test]
fn each_warning_is_on_the_operations_page() {
    let page = std::fs::read_to_string("docs/OPERATIONS.md").expect("the page exists");

    for name in LogName::ALL {
        if name.level() <= log::Level::Warn {
            let row = format!("| `{}` |", name.as_str());
            assert!(page.contains(&row), "{row} is missing");
        }
    }
}

/// Guards against metrics that are lost between the node, the admin port and the collector.
#[test]
fn metrics_reach_the_table_and_the_collector() {
    let collector = UdpSocket::bind("127.0.0.1:0").expect("a loopback port is free");
    collector
        .set_read_timeout(Some(Duration::from_millis(20)))
        .expect("the timeout is valid");
    let target = collector.local_addr().expect("the socket is bound");
    let sink = MetricSink::new(Some(target), &[("instance", "node-1")]).expect("sockets open");

    sink.add(MetricName::Requests, "engines", "urgent", 2);
    sink.add(MetricName::Requests, "engines", "urgent", 1);
    sink.set(MetricName::ConfigRevision, "", "", 7);
    sink.record(
        MetricName::QueueWait,
        "engines",
        "batch",
        Duration::from_millis(3),
    );

    // A separate thread drains the queue, so flush until the last metric has arrived.
    let mut received = String::new();
    let mut buffer = [0; 4_096];
    for _ in 0..1_000 {
        sink.flush();
        if let Ok(length) = collector.recv(&mut buffer) {
            received.push_str(&String::from_utf8_lossy(&buffer[..length]));
        }
        if received.contains("queue_wait") {
            break;
        }
    }
    assert!(received.contains("comfreychute.requests:2|c"), "{received}");
    assert!(received.contains("instance:node-1"), "{received}");
    let rows = sink.table().snapshot();
    let value = |name: &str| {
        rows.iter()
            .find(|row| row.name == name)
            .map(|row| row.value)
    };
    assert_eq!(value("requests"), Some(3));
    assert_eq!(value("config_revision"), Some(7));
    assert_eq!(value("queue_wait"), Some(1));
}

/// Guards against a node that blocks while its collector is unreachable.
#[test]
fn an_unreachable_collector_does_not_block() {
    let closed = UdpSocket::bind("127.0.0.1:0")
        .and_then(|socket| socket.local_addr())
        .expect("a loopback port is free");
    let sink = MetricSink::new(Some(closed), &[]).expect("sockets open");

    for _ in 0..20_000 {
        sink.add(MetricName::Requests, "engines", "urgent", 1);
    }
    sink.flush();

    assert_eq!(sink.table().snapshot()[0].value, 20_000);
}

/// Guards against memory that grows with the number of pool names, which come from outside.
#[test]
fn the_number_of_pools_in_the_table_is_bounded() {
    let sink = MetricSink::in_memory();

    for number in 0..5_000 {
        sink.add(
            MetricName::Refusals,
            &format!("pool-{number}"),
            "overloaded",
            1,
        );
    }

    let rows = sink.table().snapshot();
    assert!(rows.len() <= 1_025, "{}", rows.len());
    assert_eq!(rows.iter().map(|row| row.value).sum::<u64>(), 5_000);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(1_604),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against percentiles below the true value or more than a factor of two above it.
    #[test]
    fn percentiles_are_upper_bounds_within_a_factor_of_two(
        mut micros in proptest::collection::vec(0..10_000_000_u64, 1..50),
        percent in 1..=100_u64,
    ) {
        let mut timer = TimerValue::default();
        for value in &micros {
            timer.record(Duration::from_micros(*value));
        }
        micros.sort_unstable();
        let rank = (micros.len() as u64 * percent).div_ceil(100).max(1) - 1;
        let exact = micros[usize::try_from(rank).expect("small")];

        let bound = timer.percentile_us(percent);

        prop_assert!(bound >= exact && bound <= exact * 2 + 1, "{bound} for {exact}");
    }
}

/// Guards against lines whose length callers choose, by the id of an attempt or the name of a model.
#[test]
fn long_values_are_cut_at_a_character() {
    install_logger();
    let event = LogEvent::new(LogName::RequestRefused).with("attempt", "é".repeat(20_000));

    let line = event.to_line().expect("the level is enabled");

    assert!(line.len() < 2000, "{} bytes", line.len());
    let fields: Value = serde_json::from_str(&line).expect("the line is JSON");
    let attempt = fields["attempt"].as_str().expect("a text");
    assert!(attempt.starts_with("éé") && attempt.ends_with("é…"));
}
