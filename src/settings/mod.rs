//! The settings of a process.
