use std::collections::BTreeSet;

use http::HeaderValue;
use xxhash_rust::xxh3::Xxh3;

use super::part_text;

/// The parts of a prompt that requests share, in their order, as keys, and the key of the request.
///
/// The last part belongs to the request or its session and is left out, and so are repeated ones. A key
/// covers the service, since another service runs other engines, and the id of the part without its
/// number of tokens.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PromptParts {
    keys: Vec<u64>,
    request: u64,
    text: String,
}

/// Maximum number of bytes of the header that are kept for the log.
const MAX_TEXT_BYTES: usize = 256;

/// Maximum number of keys that the log shows.
const MAX_TEXT_KEYS: usize = 16;

impl PromptParts {
    /// Reads the headers that list the parts of a request's prompt as `ID:TOKENS` pairs, separated by
    /// commas. Pairs without an id are ignored, and ids are compared without regard to case.
    #[must_use]
    pub fn from_headers<'a>(
        service: &str,
        headers: impl IntoIterator<Item = &'a HeaderValue>,
    ) -> Self {
        let mut this = Self::default();
        let mut ids = Vec::new();
        for header in headers {
            let bytes = header.as_bytes();
            for pair in bytes.split(|byte| *byte == b',') {
                let id = pair.split(|byte| *byte == b':').next();
                let id = id.unwrap_or_default().trim_ascii();
                if !id.is_empty() {
                    ids.push(id.to_ascii_lowercase());
                }
            }
            if this.text.is_empty() {
                let shown = &bytes[..bytes.len().min(MAX_TEXT_BYTES)];
                this.text = String::from_utf8_lossy(shown).into_owned();
            }
        }
        ids.pop();
        let mut known = BTreeSet::new();
        let keys = ids.iter().map(|id| part_key(service, id));
        this.keys = keys.filter(|key| known.insert(*key)).collect();
        this
    }

    /// Adds the key of the whole request, which its repeats share.
    #[must_use]
    pub fn with_request(mut self, request: u64) -> Self {
        self.request = request;
        self
    }

    /// Returns the key of the whole request.
    #[must_use]
    pub const fn request(&self) -> u64 {
        self.request
    }

    /// Returns the keys of the shared parts, in the order of the prompt.
    #[must_use]
    pub fn keys(&self) -> &[u64] {
        &self.keys
    }

    /// Returns the keys of the first parts, for the log.
    #[must_use]
    pub fn keys_text(&self) -> String {
        let shown = self.keys.iter().take(MAX_TEXT_KEYS);
        let shown: Vec<String> = shown.map(|key| part_text(*key)).collect();
        shown.join(" ")
    }

    /// Returns the first bytes of the header, for the log.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }
}

/// Returns the key of a part, given its id in lower case.
fn part_key(service: &str, id: &[u8]) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(service.as_bytes());
    // No id contains a comma, which separates the pairs.
    hasher.update(b",");
    hasher.update(id);
    hasher.digest()
}
