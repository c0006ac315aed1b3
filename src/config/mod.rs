//! The tables in force: storage, watching, adoption and editing.
//!
//! The object `config/tables` holds the accepted [`TableSet`](crate::table::TableSet) as JSON.
//! [`TableEditor`] replaces it, [`ConfigWatcher`] reads it, and [`ConfigStore`] holds the copy that a
//! node works with and passes on to its peers.

mod adopt_outcome;
mod config_store;
mod config_watcher;
mod delta_history;
mod difference_line;
mod edit_outcome;
mod retry_delay;
mod stored_tables;
mod table_difference;
mod table_edit;
mod table_editor;

pub use adopt_outcome::AdoptOutcome;
pub use config_store::ConfigStore;
pub use config_watcher::ConfigWatcher;
pub use difference_line::DifferenceLine;
pub use edit_outcome::EditOutcome;
pub use retry_delay::RetryDelay;
pub use stored_tables::StoredTables;
pub use table_difference::TableDifference;
pub use table_edit::TableEdit;
pub use table_editor::TableEditor;

/// The key of the object with the accepted tables.
pub const TABLES_KEY: &str = "config/tables";
