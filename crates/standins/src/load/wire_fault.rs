use serde::Deserialize;
use serde_json::Value;

/// The code of a refusal, in any of the usual JSON forms.
#[derive(Debug, Default, Deserialize)]
pub(super) struct WireFault {
    #[serde(default)]
    error_code: Option<String>,
    #[serde(default)]
    code: Option<String>,
    #[serde(default)]
    error: Option<Value>,
}

impl WireFault {
    /// Reads the code; `None` if the text has none.
    pub(super) fn code(text: &[u8]) -> Option<String> {
        let fault: Self = serde_json::from_slice(text).ok()?;
        let nested = fault.error.as_ref().and_then(|error| match error {
            Value::String(code) => Some(code.clone()),
            Value::Object(fields) => fields
                .get("code")
                .and_then(Value::as_str)
                .map(str::to_owned),
            _ => None,
        });
        fault.error_code.or(fault.code).or(nested)
    }
}
