//! Clients of model engines and plain services; the only code that knows their wire formats.
