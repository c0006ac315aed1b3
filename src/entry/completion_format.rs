use serde_json::{Value, json};

use crate::id::RequestId;

/// Formats the response to one request according to the completion protocol.
#[derive(Debug, Clone)]
pub struct CompletionFormat {
    id: String,
    base_model: String,
    is_chat: bool,
}

impl CompletionFormat {
    /// Creates the format of the response to `request`, for a chat or a plain completion.
    #[must_use]
    pub fn new(request: RequestId, base_model: &str, is_chat: bool) -> Self {
        Self {
            id: format!("cmpl-{request}"),
            base_model: base_model.to_owned(),
            is_chat,
        }
    }

    /// Formats the text of one token as a server-sent event.
    #[must_use]
    pub fn token_event(&self, adapter: &str, text: &str) -> String {
        let choice = if self.is_chat {
            json!({ "index": 0, "delta": { "content": text }, "finish_reason": null })
        } else {
            json!({ "index": 0, "text": text, "finish_reason": null })
        };
        self.event(adapter, &choice)
    }

    /// Formats the finish reason and the end marker (`[DONE]`) as server-sent events.
    #[must_use]
    pub fn end_events(&self, adapter: &str, finish: &str) -> String {
        let choice = if self.is_chat {
            json!({ "index": 0, "delta": {}, "finish_reason": finish })
        } else {
            json!({ "index": 0, "text": "", "finish_reason": finish })
        };
        format!("{}data: [DONE]\n\n", self.event(adapter, &choice))
    }

    /// Formats a complete response as one JSON document, with the number of generated tokens.
    #[must_use]
    pub fn full_response(&self, adapter: &str, text: &str, finish: &str, tokens: u64) -> String {
        let choice = if self.is_chat {
            json!({ "index": 0, "message": { "role": "assistant", "content": text }, "finish_reason": finish })
        } else {
            json!({ "index": 0, "text": text, "finish_reason": finish })
        };
        let object = if self.is_chat {
            "chat.completion"
        } else {
            "text_completion"
        };
        let mut answer = self.response_object(object, adapter, &choice);
        answer["usage"] = json!({ "completion_tokens": tokens });
        answer.to_string()
    }

    fn event(&self, adapter: &str, choice: &Value) -> String {
        let object = if self.is_chat {
            "chat.completion.chunk"
        } else {
            "text_completion"
        };
        format!(
            "data: {}\n\n",
            self.response_object(object, adapter, choice)
        )
    }

    fn response_object(&self, object: &str, adapter: &str, choice: &Value) -> Value {
        json!({
            "id": self.id,
            "object": object,
            "model": format!("{}/{adapter}", self.base_model),
            "choices": [choice],
        })
    }
}
