//! `serde_with` adapters that read and write quantities with their units.

mod duration_text;
mod size_text;

pub use duration_text::DurationText;
pub use size_text::SizeText;
