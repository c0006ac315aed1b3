//! Tests of membership, ownership and the residency view.

mod fixture;
mod owner_map;
mod residency;
mod view;
