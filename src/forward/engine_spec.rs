use std::time::Duration;

/// The configured capacity of the inference engines of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// Number of requests that an engine runs concurrently.
    pub slots: u32,
    /// Capacity of the KV cache in tokens, shared by running requests and cached prompts.
    pub memory_tokens: u32,
    /// Memory for the weights of models and adapters, in megabytes.
    pub weights_mb: f64,
    /// Maximum number of resident adapters.
    pub adapter_slots: usize,
    /// Base model loads per second that the weight store allows across all engines.
    pub loads_per_s: f64,
    /// The base models that the engines can load.
    pub models: Vec<ModelSpec>,
}

/// The sizes and the load time of a base model.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelSpec {
    /// The name of the model, as callers write it in the model header.
    pub name: String,
    /// Size of the model's weights, in megabytes.
    pub weights_mb: f64,
    /// Size of each adapter of the model, in megabytes.
    pub adapter_mb: f64,
    /// Time that loading the model from the weight store takes.
    pub load_time: Duration,
}
