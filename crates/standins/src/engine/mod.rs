//! The stand-in of a model engine.

mod answer_fault;
mod answer_reader;
mod cache_log;
mod call_headers;
mod completion_body;
mod engine_api;
mod engine_calls;
mod engine_core;
mod engine_counters;
mod engine_loads;
mod engine_queue;
mod engine_refusal;
mod engine_run;
mod engine_settings;
mod engine_standin;
mod engine_state;
mod load_report;
mod load_ticket;
mod run_phase;
mod run_progress;
mod token_text;
mod weight_store;

pub use engine_counters::EngineCounters;
pub use engine_settings::EngineSettings;
pub use engine_standin::EngineStandin;
pub use token_text::TokenText;
pub use weight_store::WeightStore;
