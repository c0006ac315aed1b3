use std::time::Duration;

/// The limits of a [`PermitClient`](super::PermitClient).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientConfig {
    /// Time to wait for the reply to one bid; longer than the holder lets a bid wait.
    pub ask_time: Duration,
    /// Bids under way at once; further ones are refused.
    pub ask_limit: usize,
    /// Tries to return a permit; a lost one is freed after the longest possible load.
    pub done_tries: u32,
}

impl Default for ClientConfig {
    fn default() -> Self {
        Self {
            ask_time: Duration::from_secs(1),
            ask_limit: 1024,
            done_tries: 3,
        }
    }
}
