//! Wires the parts of a node together, from startup to graceful shutdown.
