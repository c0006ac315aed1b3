//! Tests of the opaque ingress that need no network.

mod adapter_versions;
mod choice;
mod head;
mod health;
mod revision_lag;
mod routes;
mod splitter;
mod sudden_demand;
