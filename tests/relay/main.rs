//! Tests of changes in the store that instances pass on to each other.

mod answers;
mod duty;
mod log;
