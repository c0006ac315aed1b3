use serde::Deserialize;

use crate::error::{Error, ErrorKind};

/// The fields of a completion request that determine its routing and the response format.
///
/// The body is forwarded to the engine unchanged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompletionRequest {
    /// The base model, which selects the route.
    pub base_model: String,
    /// The adapter as the caller named it, with or without a version.
    pub adapter: String,
    /// Whether the caller requested a stream of server-sent events.
    pub is_streamed: bool,
    /// The maximum length of the response in tokens; `None` if the caller set none.
    pub max_tokens: Option<u32>,
    /// Whether the request has chat messages, which selects the chat format of the response.
    pub is_chat: bool,
}

#[derive(Deserialize)]
struct RequestBody {
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    prompt: Option<serde_json::Value>,
    #[serde(default)]
    messages: Option<Vec<serde_json::Value>>,
}

impl CompletionRequest {
    /// Parses the JSON body of a completion or chat completion request.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::BadRequest`] if the body is not JSON, has neither `prompt` nor
    /// `messages`, or if `model` is not of the form `base/adapter[@version]`.
    pub fn from_body(body: &[u8]) -> Result<Self, Error> {
        let body: RequestBody = serde_json::from_slice(body)
            .map_err(|error| Error::new(ErrorKind::BadRequest, format!("body: {error}")))?;
        if body.prompt.is_none() && body.messages.is_none() {
            return Err(Error::new(
                ErrorKind::BadRequest,
                "body: set \"prompt\" or \"messages\"",
            ));
        }
        let Some((base_model, adapter)) = body.model.split_once('/') else {
            return Err(Error::new(
                ErrorKind::BadRequest,
                format!(
                    "model {:?}: write base/adapter or base/adapter@version",
                    body.model
                ),
            ));
        };
        Ok(Self {
            base_model: base_model.to_owned(),
            adapter: adapter.to_owned(),
            is_streamed: body.stream,
            max_tokens: body.max_tokens,
            is_chat: body.messages.is_some(),
        })
    }
}
