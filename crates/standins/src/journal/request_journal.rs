use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use super::JournalEntry;

/// Bounds the memory of a long run; about 60 MB.
const ENTRY_LIMIT: usize = 200_000;

/// Keeps the latest entries in order of receipt.
#[derive(Debug, Clone, Default)]
pub struct RequestJournal {
    entries: Arc<Mutex<JournalPage>>,
}

#[derive(Debug, Default)]
struct JournalPage {
    count: u64,
    entries: VecDeque<JournalEntry>,
}

impl RequestJournal {
    /// Adds an entry; its number and time are filled in.
    pub fn append(&self, mut entry: JournalEntry) {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let mut page = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        page.count += 1;
        entry.number = page.count;
        entry.time_us = u64::try_from(now.as_micros()).unwrap_or(u64::MAX);
        if page.entries.len() == ENTRY_LIMIT {
            page.entries.pop_front();
        }
        page.entries.push_back(entry);
    }

    /// Returns the entries with numbers above `after`.
    #[must_use]
    pub fn read(&self, after: u64) -> Vec<JournalEntry> {
        let page = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        page.entries
            .iter()
            .filter(|entry| entry.number > after)
            .cloned()
            .collect()
    }
}
