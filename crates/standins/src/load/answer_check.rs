use comfreychute::id::AdapterRef;
use serde::Deserialize;
use serde_json::Value;

use super::PlannedRequest;
use super::wire_fault::WireFault;
use crate::engine::TokenText;

/// Compares an answer with what the adapter must give.
#[derive(Debug)]
pub(super) struct AnswerCheck {
    adapter: AdapterRef,
    expected: String,
    text: String,
    is_misattributed: bool,
}

/// The fields of an event that state the text and its origin.
#[derive(Debug, Deserialize)]
struct EventFields {
    /// `base/adapter@version`, as nodes state it.
    #[serde(default)]
    model: Option<String>,
    #[serde(default)]
    adapter: Option<String>,
    #[serde(default)]
    version: Option<String>,
    #[serde(default)]
    text: Option<String>,
    #[serde(default)]
    choices: Vec<Value>,
}

impl EventFields {
    /// Returns the text of a flat event, or of the first choice of the usual protocol.
    fn text(&self) -> &str {
        if let Some(text) = &self.text {
            return text;
        }
        let choice = self.choices.first();
        choice
            .and_then(|choice| choice.get("text"))
            .or_else(|| choice.and_then(|choice| choice.pointer("/delta/content")))
            .or_else(|| choice.and_then(|choice| choice.pointer("/message/content")))
            .and_then(Value::as_str)
            .unwrap_or_default()
    }
}

impl AnswerCheck {
    /// Prepares the comparison for one request of `tokens` tokens.
    pub(super) fn new(request: &PlannedRequest, tokens: u64) -> Self {
        let prompt = TokenText::digest(&Value::from(request.prompt.as_str()));
        Self {
            adapter: request.adapter.clone(),
            expected: TokenText::new(&request.adapter, prompt).whole(tokens),
            text: String::new(),
            is_misattributed: false,
        }
    }

    /// Takes the payload of an event; the error is the code of a failure that it reports.
    pub(super) fn push(&mut self, payload: &[u8]) -> Result<(), String> {
        if let Some(code) = WireFault::code(payload) {
            return Err(code);
        }
        let event: EventFields = serde_json::from_slice(payload)
            .ok()
            .ok_or_else(|| "malformed_event".to_owned())?;
        let is_other = |stated: &Option<String>, asked: &str| {
            stated.as_deref().is_some_and(|stated| stated != asked)
        };
        let model = event
            .model
            .as_deref()
            .and_then(|model| model.rsplit_once('/'));
        self.is_misattributed |= model
            .is_some_and(|(_, adapter)| adapter != self.adapter.to_string())
            || is_other(&event.adapter, self.adapter.name())
            || is_other(&event.version, self.adapter.version());
        self.text.push_str(event.text());
        Ok(())
    }

    /// Returns whether any text arrived.
    pub(super) fn has_text(&self) -> bool {
        !self.text.is_empty()
    }

    /// Returns whether an event named another adapter or version.
    pub(super) const fn is_misattributed(&self) -> bool {
        self.is_misattributed
    }

    /// Returns whether the text differs from the expected one.
    pub(super) fn is_altered(&self) -> bool {
        self.text != self.expected
    }
}
