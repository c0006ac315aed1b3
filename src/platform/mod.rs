//! The platform's object store and instance list; the only code that knows their wire format.
