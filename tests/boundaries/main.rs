//! Tests of the clients of the platform and of the upstreams against the stand-ins.

mod answers;
mod fixture;
mod objects;
