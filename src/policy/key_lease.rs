use std::time::Duration;

/// How long the keys of the newest known configuration may be used while no newer one is heard of.
///
/// This answers the load of an instance that is cut off from the store and its peers, or was paused:
/// keys may have been withdrawn since, and it can't know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyLease {
    /// Whether requests that need a key are refused once the configuration is too old; otherwise the
    /// newest known keys stay in use.
    pub fails_closed: bool,
    /// The age of the last confirmed contact up to which the keys may be used.
    pub limit: Duration,
}

impl KeyLease {
    /// Returns whether keys may be used; `contact_age` is the time since the call to the store was sent
    /// by which the configuration was last confirmed, or `None` if it never was.
    #[must_use]
    pub fn is_valid(&self, contact_age: Option<Duration>) -> bool {
        !self.fails_closed || contact_age.is_some_and(|age| age <= self.limit)
    }
}
