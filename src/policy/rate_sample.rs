/// The time until one answer began, and the work that its upstream had before it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateSample {
    /// Prompt tokens that the engine had to read, those of the request included.
    pub tokens: u32,
    /// Requests in flight there when the request was sent.
    pub requests: u32,
    /// Time from sending the request until the answer began, in milliseconds.
    pub wait_ms: f64,
    /// How many times as long as usual the upstream said that work took.
    pub slowdown: f64,
}
