use comfreychute::id::AdapterRef;
use serde::Deserialize;
use serde_json::Value;

use super::TokenText;

/// The parts of a completion request that the stand-in looks at.
#[derive(Debug, Deserialize)]
pub(super) struct CompletionBody {
    #[serde(default)]
    model: Option<String>,
    #[serde(default)]
    prompt: Option<Value>,
    #[serde(default)]
    messages: Option<Value>,
    #[serde(default)]
    max_tokens: Option<u64>,
}

impl CompletionBody {
    /// Returns the adapter that `model`, written `base/adapter@version`, names.
    pub(super) fn adapter(&self) -> Option<AdapterRef> {
        let model = self.model.as_deref()?;
        let (_, adapter) = model.rsplit_once('/')?;
        adapter.parse().ok()
    }

    /// Returns the digest of the prompt; `None` if the request has neither prompt nor messages.
    pub(super) fn prompt_digest(&self) -> Option<u64> {
        self.prompt
            .as_ref()
            .or(self.messages.as_ref())
            .map(TokenText::digest)
    }

    /// Returns the number of tokens to generate.
    pub(super) fn tokens(&self, default: u64) -> u64 {
        self.max_tokens.unwrap_or(default)
    }
}
