/// The HTTP response of a finished request, stored to answer resends of the request.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct StoredAnswer {
    /// The HTTP status code.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// The value of the `content-type` header.
    #[prost(string, tag = "2")]
    pub content_type: String,
    /// The body; `None` if it was too large to store or dropped to free space.
    #[prost(bytes = "vec", optional, tag = "3")]
    pub body: Option<Vec<u8>>,
}
