//! The audit trail of changes.
//!
//! Records are buffered in memory and appended in batches to objects
//! `audit/<slot>/<instance>/<part>`. The slot is the hour modulo the retention in hours: the object
//! store has no deletion, so new objects overwrite those of an earlier hour in the same slot. Each
//! object contains its hour, and readers skip objects of hours other than the requested one.

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
