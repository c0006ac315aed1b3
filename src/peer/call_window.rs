//! Flow control of the answer to one call.
//!
//! Each call has a window of bytes that the answering side may send ahead of the consumer. The
//! reader of a link therefore never waits for a slow consumer, and the unread bytes of a call are
//! bounded. Both sides compute the same cost of a chunk.

use prost::Message;

use super::CallChunk;

/// Maximum number of bytes of an answer that were sent and not yet consumed.
pub(super) const CALL_WINDOW_BYTES: u32 = 256 * 1024;

/// Number of consumed bytes after which credit is returned.
///
/// No chunk costs more than this. Once everything sent was consumed, less than this is still
/// without credit, so that the rest of the window always fits the next chunk.
pub(super) const CREDIT_STEP_BYTES: u32 = CALL_WINDOW_BYTES / 2;

/// Minimum cost of a chunk; bounds the number of unread chunks.
const MIN_COST_BYTES: u32 = 64;

/// Maximum number of chunks that fit into the window.
pub(super) const MAX_CHUNKS: usize = (CALL_WINDOW_BYTES / MIN_COST_BYTES) as usize;

/// Returns the number of window bytes that a chunk uses.
pub(super) fn cost(chunk: &CallChunk) -> u32 {
    u32::try_from(chunk.encoded_len())
        .unwrap_or(u32::MAX)
        .clamp(MIN_COST_BYTES, CREDIT_STEP_BYTES)
}
