/// How much callers may take together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryLimits {
    /// Maximum number of bytes for heads, bodies and unread answers.
    pub bytes: usize,
    /// Number of bytes that the whole process has allocated from which no connection gets more than
    /// 64 KiB.
    pub process_bytes: usize,
    /// Maximum number of open connections.
    pub connections: usize,
    /// Number of connections to upstreams from which no further ones are kept idle.
    pub upstream_connections: usize,
}

/// Part of the machine's memory that heads, bodies and unread answers may take. The rest is for the state
/// of the fleet, the buffers of connections and the unused parts of the allocator's pages.
const MEMORY_DIVISOR: usize = 3;

/// Part of the machine's memory that the process may allocate before callers get no more. The rest is for
/// the program itself, the unused parts of the allocator's pages, and [`CONNECTION_BYTES`] of each connection.
const PROCESS_DIVISOR: usize = 2;

/// Part of the machine's memory that the fixed buffers of connections may take.
const CONNECTION_DIVISOR: usize = 4;

/// Bytes that a connection of a caller may take besides what is charged: its task, its socket buffers in
/// this process, and the read buffer of its upstream's connection. An ordinary request is smaller too.
pub(super) const CONNECTION_BYTES: usize = 64 * 1024;

/// Descriptors that the pages of the users' platform reserve for files.
const FILE_DESCRIPTORS: usize = 200;

/// Number of fifths of the sockets that callers may take, and as many those to upstreams, since a request
/// takes one of each. The rest is for links to other instances, the store and probes.
const CALLER_FIFTHS: usize = 2;

/// Fewest connections of callers that are allowed, whatever the machine.
const MIN_CONNECTIONS: usize = 16;

impl MemoryLimits {
    /// Returns limits that nothing reaches.
    #[must_use]
    pub const fn unlimited() -> Self {
        Self {
            bytes: usize::MAX,
            process_bytes: usize::MAX,
            connections: usize::MAX,
            upstream_connections: usize::MAX,
        }
    }

    /// Derives the limits from the memory of a machine in bytes and its file descriptors; what is `None`
    /// is not limited.
    #[must_use]
    pub fn for_machine(memory: Option<usize>, descriptors: Option<usize>) -> Self {
        let bytes = memory.map_or(usize::MAX, |memory| memory / MEMORY_DIVISOR);
        let by_memory = memory.map_or(usize::MAX, |memory| {
            memory / CONNECTION_DIVISOR / CONNECTION_BYTES
        });
        let by_descriptors = descriptors.map_or(usize::MAX, |descriptors| {
            descriptors.saturating_sub(FILE_DESCRIPTORS) / 5 * CALLER_FIFTHS
        });
        Self {
            bytes,
            process_bytes: memory.map_or(usize::MAX, |memory| memory / PROCESS_DIVISOR),
            connections: by_memory.min(by_descriptors).max(MIN_CONNECTIONS),
            upstream_connections: by_descriptors,
        }
    }
}
