//! The HTTP endpoints for operators.
