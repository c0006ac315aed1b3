//! Ownership of upstreams and the work that owners do.

mod owner_map;

pub use owner_map::OwnerMap;
