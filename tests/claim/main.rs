//! Tests of claims against an in-memory object store.

mod claim_harness;
mod claim_simulation;
mod fake_store;
mod fixtures;
mod interleavings;
mod limits;
mod platform;
mod rules;
mod simulation_checks;
mod simulation_step;
