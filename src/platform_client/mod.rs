//! The platform's object store and instance list; the only code that knows their wire format.
//!
//! Values travel as raw bytes with the version in a header. A list starts with one line of JSON
//! that gives key, version and length of each object, followed by the values.

mod index_entry;
mod instance_list;
mod listed_instance;
mod object_store;
mod percent_encoded;
mod stored_object;
mod write_outcome;

pub use index_entry::IndexEntry;
pub use instance_list::InstanceList;
pub use listed_instance::ListedInstance;
pub use object_store::{ObjectStore, VALUE_LIMIT_BYTES, VERSION_HEADER};
pub use stored_object::StoredObject;
pub use write_outcome::WriteOutcome;
