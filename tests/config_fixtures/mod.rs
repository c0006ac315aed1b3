//! Tables of different revisions for tests.

use comfreychute::table::TableSet;

use crate::table_fixtures::table_set;

/// Returns the fixture tables, with a field that differs for each revision.
pub fn numbered_set(revision: u64) -> TableSet {
    let mut tables = table_set(revision);
    tables.routes.routes[0].max_body = 1_000 + revision;
    tables
}
