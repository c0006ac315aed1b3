use std::fs;
use std::time::Duration;

/// Processor time and memory of this process so far, from `/proc/self`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessUsage {
    /// Processor time in user and system mode.
    pub processor: Duration,
    /// Resident memory in bytes.
    pub resident: u64,
}

impl ProcessUsage {
    /// Linux reports processor time in hundredths of a second on all supported platforms.
    const TICK: Duration = Duration::from_millis(10);
    /// The page size of the supported platforms.
    const PAGE: u64 = 4_096;

    /// Reads the present figures.
    ///
    /// # Errors
    ///
    /// Fails if `/proc/self` cannot be read.
    pub fn read() -> std::io::Result<Self> {
        let stat = fs::read_to_string("/proc/self/stat")?;
        // The process name in parentheses may contain spaces. The fields after it start with the
        // third; user and system time are the fields 14 and 15.
        let fields = stat.rsplit_once(')').map_or("", |(_, fields)| fields);
        let ticks: u32 = fields
            .split_whitespace()
            .skip(11)
            .take(2)
            .filter_map(|field| field.parse::<u32>().ok())
            .sum();
        let statm = fs::read_to_string("/proc/self/statm")?;
        let pages: u64 = statm
            .split_whitespace()
            .nth(1)
            .and_then(|field| field.parse().ok())
            .unwrap_or(0);
        Ok(Self {
            processor: Self::TICK * ticks,
            resident: pages * Self::PAGE,
        })
    }
}
