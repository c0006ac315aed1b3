//! The audit trail of changes.
//!
//! Records are kept in memory and appended in batches to objects `audit/<slot>/<instance>/<part>`.
//! The slot is the hour modulo the retention in hours: the object store has no deletion, so the
//! objects of an hour replace those of the same slot. Each object states its hour, and readers skip
//! objects of another hour than the one that they ask for.

mod audit_buffer;
mod audit_kind;
mod audit_object;
mod audit_reader;
mod audit_record;
mod audit_trail;
mod part_writer;

pub use audit_kind::AuditKind;
pub use audit_object::AuditObject;
pub use audit_reader::AuditReader;
pub use audit_record::AuditRecord;
pub use audit_trail::AuditTrail;
pub(crate) use audit_trail::now_ms;
