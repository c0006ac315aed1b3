//! Tests of the opaque ingress that need no network.

mod choice;
mod head;
mod health;
mod marks;
mod routes;
mod splitter;
mod sudden_demand;
