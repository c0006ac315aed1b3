use std::time::Duration;

/// What the configuration says of the engines of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens of memory for running requests and cached prompts.
    pub memory_tokens: u32,
    /// Megabytes for the weights of models and adapters.
    pub weights_mb: f64,
    /// The most adapters that may be resident.
    pub adapter_slots: usize,
    /// Loads of base models that the weight store allows a second, over all engines.
    pub loads_per_s: f64,
    /// The base models.
    pub models: Vec<ModelSpec>,
}

/// A base model.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelSpec {
    /// The name.
    pub name: String,
    /// Megabytes of its weights.
    pub weights_mb: f64,
    /// Megabytes of each adapter.
    pub adapter_mb: f64,
    /// Time of a load from the weight store.
    pub load_time: Duration,
}
