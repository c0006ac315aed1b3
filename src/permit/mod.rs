//! Load permits: the holder that grants them and its client.
