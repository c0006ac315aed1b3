//! The route table and the pool table, which operators edit.
//!
//! [`TableFiles`] parses both from TOML, [`TableSet`] is an accepted version of both, and
//! [`TableRows`] and [`TableDelta`] are the forms in which nodes exchange them.

mod adapter_rule;
mod chained_row;
mod fencing_mode;
mod pool_check;
mod pool_kind;
mod pool_row;
mod pool_table;
mod route_check;
mod route_row;
mod route_table;
mod row_assembly;
mod row_places;
mod row_reader;
mod store_row;
mod table_check;
mod table_delta;
mod table_files;
mod table_rows;
mod table_set;
mod upstream_row;
mod upstream_state;

pub use adapter_rule::AdapterRule;
pub use fencing_mode::FencingMode;
pub use pool_kind::PoolKind;
pub use pool_row::PoolRow;
pub use pool_table::PoolTable;
pub use route_row::RouteRow;
pub use route_table::RouteTable;
pub use row_places::RowPlaces;
pub use store_row::StoreRow;
pub use table_delta::TableDelta;
pub use table_files::TableFiles;
pub use table_rows::TableRows;
pub use table_set::TableSet;
pub use upstream_row::UpstreamRow;
pub use upstream_state::UpstreamState;
