use std::time::{Duration, Instant};

use comfreychute::{Error, ErrorKind, Result};

use super::{CapacityFigures, CapacityFleet, CapacitySettings, PhaseFigures, ProcessUsage};
use crate::platform::PlatformCounters;

/// Time for which a ready fleet settles, so that full residency lists are not counted as idle cost.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Measures one fleet size.
#[derive(Debug)]
pub struct CapacityRun {
    settings: CapacitySettings,
}

/// The state at the border of two phases.
#[derive(Debug, Clone, Copy)]
struct PhaseMark {
    at: Instant,
    usage: ProcessUsage,
    bytes: u64,
    calls: PlatformCounters,
}

impl CapacityRun {
    /// Creates the run.
    #[must_use]
    pub const fn new(settings: CapacitySettings) -> Self {
        Self { settings }
    }

    /// Starts the fleet, measures both phases and ends.
    ///
    /// # Errors
    ///
    /// Returns the error of the fleet, or of reading `/proc/self`.
    pub async fn measure(&self) -> Result<CapacityFigures> {
        let settings = &self.settings;
        let mut fleet = CapacityFleet::start(settings.engines).await?;
        let baseline = usage()?;
        fleet.add_nodes(settings).await?;
        tokio::time::sleep(SETTLE_TIME).await;
        let start = mark(&fleet)?;
        tokio::time::sleep(settings.phase).await;
        let idle = mark(&fleet)?;
        let mut change_ms = Vec::new();
        let mut ticks = tokio::time::interval(settings.change_interval);
        while idle.at.elapsed() < settings.phase {
            ticks.tick().await;
            let begun = Instant::now();
            let number = u32::try_from(change_ms.len()).unwrap_or(u32::MAX);
            fleet.change(number).await?;
            change_ms.push(begun.elapsed().as_millis());
        }
        let end = mark(&fleet)?;
        change_ms.sort_unstable();
        let grown = end.usage.resident.saturating_sub(baseline.resident);
        Ok(CapacityFigures {
            nodes: settings.nodes,
            engines: settings.engines,
            profile: if cfg!(debug_assertions) {
                "debug"
            } else {
                "release"
            },
            resident_bytes_per_node: grown / u64::from(settings.nodes),
            idle: phase(settings.nodes, &start, &idle),
            changing: phase(settings.nodes, &idle, &end),
            change_ms,
        })
    }
}

fn phase(nodes: u32, from: &PhaseMark, to: &PhaseMark) -> PhaseFigures {
    PhaseFigures::between(
        nodes,
        to.at - from.at,
        (from.usage, to.usage),
        (from.bytes, to.bytes),
        (from.calls, to.calls),
    )
}

fn mark(fleet: &CapacityFleet) -> Result<PhaseMark> {
    Ok(PhaseMark {
        at: Instant::now(),
        usage: usage()?,
        bytes: fleet.heartbeat_bytes(),
        calls: fleet.platform().counters(),
    })
}

fn usage() -> Result<ProcessUsage> {
    ProcessUsage::read().map_err(|error| {
        Error::new(
            ErrorKind::Internal,
            format!("cannot read /proc/self; run this on Linux: {error}"),
        )
    })
}
