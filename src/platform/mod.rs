//! The platform's object store and instance list; the only code that knows their wire format.

mod listed_instance;

pub use listed_instance::ListedInstance;
