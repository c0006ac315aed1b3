//! The tables in force: storage, watching, adoption and editing.
