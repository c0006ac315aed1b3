//! Tests of claims against an in-memory object store.

mod bench;
mod claim_trial;
mod fake_store;
mod fixtures;
mod interleavings;
mod limits;
mod platform;
mod rules;
mod trial_checks;
mod trial_step;
