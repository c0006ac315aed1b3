/// The part of the fleet whose reports an instance receives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetCover {
    /// Number of instances whose reports are recent, including this one.
    pub heard: u32,
    /// Number of instances that the platform lists; zero before the first list.
    pub listed: usize,
}

/// Number of instances that a process assumes before it has read the list. It may be the largest
/// fleet that is served, since the list arrives together with the configuration.
const UNLISTED_COUNT: usize = 1_000;

impl FleetCover {
    /// Returns the share of the fleet that is heard, from 0 to 1.
    ///
    /// The share of listed instances that are not heard stays with them: they may be serving behind
    /// a cut link.
    #[must_use]
    pub fn share(&self) -> f64 {
        let listed = match self.listed {
            0 => UNLISTED_COUNT,
            listed => listed,
        };
        let listed = u32::try_from(listed).unwrap_or(u32::MAX);
        f64::from(self.heard.min(listed)) / f64::from(listed)
    }
}
