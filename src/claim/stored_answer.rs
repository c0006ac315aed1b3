/// The answer of a finished request, kept for callers that send it again.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct StoredAnswer {
    /// The HTTP status.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// The content type.
    #[prost(string, tag = "2")]
    pub content_type: String,
    /// The body; absent if it was too large to be kept.
    #[prost(bytes = "vec", optional, tag = "3")]
    pub body: Option<Vec<u8>>,
}
