//! Ownership of upstreams and the work that owners do.
