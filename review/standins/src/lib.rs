//! Stand-ins for the cases of the review: the platform's store, workers, consumers, and the start of
//! the project's program.

pub mod deploy;
pub mod edge;
pub mod http;
pub mod json;
pub mod record;
pub mod store;
pub mod traffic;
pub mod worker;
