//! The HTTP endpoints for callers.
