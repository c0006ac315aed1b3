/// Maximum size in bytes of the head of a response, and of the read buffer of its connection, which
/// grows to this size while bytes arrive faster than they are used. The default of hyper, 408 KiB,
/// would let one faulty server take about 40 MB over 100 connections.
pub(crate) const MAX_RESPONSE_HEAD_BYTES: usize = 64 * 1024;

/// Maximum number of headers of a response, the default of hyper. A response with more is malformed.
pub(crate) const MAX_RESPONSE_HEADERS: usize = 100;
