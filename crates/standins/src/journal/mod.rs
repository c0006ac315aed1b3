//! The record of what a stand-in received, which tests compare with what callers were told.

mod journal_entry;
mod request_journal;

pub use journal_entry::JournalEntry;
pub use request_journal::RequestJournal;
