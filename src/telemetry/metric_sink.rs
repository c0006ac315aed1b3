use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use cadence::prelude::*;
use cadence::{BufferedUdpMetricSink, NopMetricSink, QueuingMetricSink, StatsdClient};

use super::{MetricName, MetricTable};
use crate::error::{Error, ErrorKind};

/// Sends metrics to a statsd collector and keeps them in a [`MetricTable`].
///
/// Sending never blocks: metrics pass through a bounded queue and a nonblocking socket, and are
/// dropped if either is full.
#[derive(Debug, Clone)]
pub struct MetricSink {
    client: Arc<StatsdClient>,
    table: Arc<MetricTable>,
    is_sending: bool,
}

impl MetricSink {
    /// Maximum number of metrics queued for the sender thread.
    const QUEUE_CAPACITY: usize = 8_192;

    /// Creates a sink that keeps the metrics in its table and sends nothing.
    #[must_use]
    pub fn in_memory() -> Self {
        Self {
            client: Arc::new(StatsdClient::from_sink(PREFIX, NopMetricSink)),
            table: Arc::new(MetricTable::new()),
            is_sending: false,
        }
    }

    /// Creates a sink that sends to `target` if it is set; `tags` are added to every metric.
    ///
    /// # Errors
    ///
    /// Fails if no UDP socket can be opened.
    pub fn new(target: Option<SocketAddr>, tags: &[(&str, &str)]) -> Result<Self, Error> {
        let Some(target) = target else {
            return Ok(Self::in_memory());
        };
        let fault = |error: &dyn std::fmt::Display| {
            Error::new(
                ErrorKind::Settings,
                format!("telemetry.metrics_address {target}: {error}; correct the address"),
            )
        };
        let local: SocketAddr = if target.is_ipv4() {
            ([0, 0, 0, 0], 0).into()
        } else {
            ([0; 8], 0).into()
        };
        let socket = UdpSocket::bind(local).map_err(|error| fault(&error))?;
        socket
            .set_nonblocking(true)
            .map_err(|error| fault(&error))?;
        let sink = BufferedUdpMetricSink::from(target, socket).map_err(|error| fault(&error))?;
        let queue = QueuingMetricSink::with_capacity(sink, Self::QUEUE_CAPACITY);
        let mut builder = StatsdClient::builder(PREFIX, queue);
        for (key, value) in tags {
            builder = builder.with_tag(*key, *value);
        }
        Ok(Self {
            client: Arc::new(builder.build()),
            table: Arc::new(MetricTable::new()),
            is_sending: true,
        })
    }

    /// Returns the in-memory table, which the admin server reads.
    #[must_use]
    pub fn table(&self) -> &MetricTable {
        &self.table
    }

    /// Sends the buffered metrics; called at a fixed interval, so that metrics arrive on time also
    /// when traffic is low.
    pub fn flush(&self) {
        if self.is_sending {
            // An unreachable collector must not affect the node, so errors are ignored.
            drop(self.client.flush());
        }
    }

    /// Adds to a counter of a pool; `tag` is a rank or a reason.
    pub fn add(&self, name: MetricName, pool: &str, tag: &'static str, count: u64) {
        self.table.add(name, pool, tag, count);
        if self.is_sending {
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            let metric = self.client.count_with_tags(name.as_str(), count);
            metric.with_tag("pool", pool).with_tag("tag", tag).send();
        }
    }

    /// Sets a gauge; the pool and the tag are empty for metrics of the whole node.
    pub fn set(&self, name: MetricName, pool: &str, tag: &'static str, number: u64) {
        self.table.set(name, pool, tag, number);
        if self.is_sending {
            let metric = self.client.gauge_with_tags(name.as_str(), number);
            metric.with_tag("pool", pool).with_tag("tag", tag).send();
        }
    }

    /// Adds a duration to a timer; `tag` is a rank.
    pub fn record(&self, name: MetricName, pool: &str, tag: &'static str, duration: Duration) {
        self.table.record(name, pool, tag, duration);
        if self.is_sending {
            let metric = self.client.time_with_tags(name.as_str(), duration);
            metric.with_tag("pool", pool).with_tag("tag", tag).send();
        }
    }
}

/// The prefix of every metric name.
const PREFIX: &str = "comfreychute";
