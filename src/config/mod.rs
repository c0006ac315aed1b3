//! Storage, distribution, adoption and editing of the tables.
//!
//! The object `config/tables` holds the accepted [`TableSet`](crate::table::TableSet) as JSON.
//! [`TableEditor`] replaces it, [`ConfigWatcher`] watches it, and [`ConfigStore`] holds the tables
//! that are in force on a node and serves them to its peers.

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

/// The key under which the object store holds the accepted tables.
pub const TABLES_KEY: &str = "config/tables";
