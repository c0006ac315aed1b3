use comfreychute::id::AdapterRef;
use serde_json::Value;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Computes the text of tokens from adapter, version, prompt and index alone.
///
/// A resumed or repeated answer can therefore be compared byte for byte, and a text reveals the
/// adapter that it was computed with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenText {
    seed: u64,
}

impl TokenText {
    /// Prepares the texts for an adapter and the digest of a prompt.
    #[must_use]
    pub fn new(adapter: &AdapterRef, prompt: u64) -> Self {
        Self {
            seed: xxh3_64_with_seed(adapter.to_string().as_bytes(), prompt),
        }
    }

    /// Returns the digest of the `prompt` or the `messages` of a request.
    #[must_use]
    pub fn digest(prompt: &Value) -> u64 {
        xxh3_64(prompt.to_string().as_bytes())
    }

    /// Returns the text of the token `index`.
    #[must_use]
    pub fn at(self, index: u64) -> String {
        let digest = xxh3_64_with_seed(&index.to_le_bytes(), self.seed);
        format!(" {:06x}", digest & 0xff_ffff)
    }

    /// Returns the text of the first `count` tokens.
    #[must_use]
    pub fn whole(self, count: u64) -> String {
        (0..count).map(|index| self.at(index)).collect()
    }
}
