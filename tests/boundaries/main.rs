//! Tests of the clients of the platform and of the upstreams against the stand-ins.

mod answers;
mod control;
mod fixture;
mod load;
mod objects;
mod orders;
mod plain;
mod queue;
mod run_state;
mod streams;
mod wire;
