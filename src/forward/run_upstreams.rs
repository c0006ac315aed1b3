use std::collections::BTreeMap;
use std::sync::Arc;

use super::UpstreamEntry;
use crate::id::UpstreamId;

/// The upstreams that may have run a request, each counted once however often it was sent there.
///
/// A route limits their number. Those that have ended or can't be reached may be replaced.
#[derive(Debug, Default)]
pub struct RunUpstreams {
    records: Vec<RunRecord>,
}

#[derive(Debug)]
struct RunRecord {
    entry: Arc<UpstreamEntry>,
    /// Whether a later connection to the upstream could not be opened.
    is_unreachable: bool,
}

impl RunUpstreams {
    /// Creates a record without upstreams.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an upstream to which the request is about to be sent; returns whether it is a new one.
    pub fn begin(&mut self, entry: &Arc<UpstreamEntry>) -> bool {
        if let Some(record) = self.records.iter_mut().find(|record| record.is(entry)) {
            record.is_unreachable = false;
            return false;
        }
        self.records.push(RunRecord {
            entry: Arc::clone(entry),
            is_unreachable: false,
        });
        true
    }

    /// Removes an upstream that certainly did not run the request.
    pub fn withdraw(&mut self, entry: &UpstreamEntry) {
        self.records.retain(|record| !record.is(entry));
    }

    /// Records that no connection to an upstream can be opened.
    pub fn record_unreachable(&mut self, entry: &UpstreamEntry) {
        for record in self.records.iter_mut().filter(|record| record.is(entry)) {
            record.is_unreachable = true;
        }
    }

    /// Returns whether an upstream may have run the request.
    #[must_use]
    pub fn includes(&self, entry: &UpstreamEntry) -> bool {
        self.records.iter().any(|record| record.is(entry))
    }

    /// Returns the number of upstreams that may have run the request and are alive as far as known:
    /// they are listed, have not restarted, and no connection to them has failed since.
    #[must_use]
    pub fn live_count(&self, listed: &BTreeMap<UpstreamId, Arc<UpstreamEntry>>) -> u32 {
        let is_live = |record: &&RunRecord| {
            let known = listed.get(&record.entry.id);
            !record.is_unreachable && known.is_some_and(|known| record.is(known))
        };
        to_count(self.records.iter().filter(is_live).count())
    }

    /// Returns the number of upstreams to which no connection can be opened any more.
    #[must_use]
    pub fn unreachable_count(&self) -> u32 {
        to_count(
            self.records
                .iter()
                .filter(|record| record.is_unreachable)
                .count(),
        )
    }
}

impl RunRecord {
    /// Returns whether an entry names this upstream. One with a newer incarnation names another, which
    /// has not run the request; an older one may come from a write that the store carried out late.
    fn is(&self, entry: &UpstreamEntry) -> bool {
        entry.id == self.entry.id && entry.incarnation <= self.entry.incarnation
    }
}

fn to_count(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
