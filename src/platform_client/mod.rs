//! Clients of the platform's object store and instance list.
//!
//! Only this module depends on their wire format. A value is sent as raw bytes with its version in
//! a header. The response to a list starts with one line of JSON that states key, version and
//! length of each object, followed by the values.

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
