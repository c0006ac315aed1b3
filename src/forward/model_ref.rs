use std::fmt;

/// A base model and optionally one of its adapters; the text form is `model/adapter`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ModelRef {
    /// The name of the base model.
    pub model: String,
    /// The name of the adapter; empty for the base model itself.
    pub adapter: String,
}

impl ModelRef {
    /// Creates a reference; an empty `adapter` refers to the base model itself.
    #[must_use]
    pub fn new(model: &str, adapter: &str) -> Self {
        Self {
            model: model.to_owned(),
            adapter: adapter.to_owned(),
        }
    }

    /// Parses the text form; text without a slash refers to a base model.
    #[must_use]
    pub fn from_text(text: &str) -> Self {
        let (model, adapter) = text.split_once('/').unwrap_or((text, ""));
        Self::new(model, adapter)
    }

    /// Returns whether an adapter is named.
    #[must_use]
    pub const fn has_adapter(&self) -> bool {
        !self.adapter.is_empty()
    }
}

impl fmt::Display for ModelRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.model)?;
        if self.has_adapter() {
            write!(f, "/{}", self.adapter)?;
        }
        Ok(())
    }
}
