//! The prost messages of the peer protocol.
//!
//! They are written by hand with prost's derive macros, so that the build needs no generator. A
//! field number is never reused.
#![expect(
    clippy::derive_partial_eq_without_eq,
    reason = "prost derives PartialEq only"
)]

use prost::{Message, Oneof};

/// One frame.
#[derive(Clone, PartialEq, Message)]
pub struct PeerFrame {
    /// The call or question that the frame belongs to; zero for the link itself.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
    /// The content.
    #[prost(oneof = "frame::Body", tags = "2, 3, 4, 5, 6, 7, 8, 9")]
    pub body: Option<frame::Body>,
}

/// The contents of a frame.
pub mod frame {
    use super::{CallChunk, CallOpen, HeartbeatBody, Oneof, PeerHello, PeerReply, PeerRequest};

    /// The content of a frame.
    #[derive(Clone, PartialEq, Oneof)]
    pub enum Body {
        /// First frame in each direction.
        #[prost(message, tag = "2")]
        Hello(PeerHello),
        /// Sent at a fixed interval.
        #[prost(message, tag = "3")]
        Heartbeat(HeartbeatBody),
        /// Opens a forwarded request.
        #[prost(message, tag = "4")]
        Open(CallOpen),
        /// Part of the answer to a forwarded request.
        #[prost(message, tag = "5")]
        Chunk(CallChunk),
        /// Cancels a forwarded request; the text says why.
        #[prost(string, tag = "6")]
        Cancel(String),
        /// A question with one reply.
        #[prost(message, tag = "7")]
        Ask(PeerRequest),
        /// The reply to a question.
        #[prost(message, tag = "8")]
        Reply(PeerReply),
        /// Bytes of a forwarded answer that were consumed and may be sent again.
        #[prost(uint32, tag = "9")]
        Credit(u32),
    }
}

/// Introduces an instance on a new link.
#[derive(Clone, PartialEq, Message)]
pub struct PeerHello {
    /// The version of the protocol.
    #[prost(uint32, tag = "1")]
    pub protocol: u32,
    /// The instance id.
    #[prost(string, tag = "2")]
    pub instance: String,
    /// Random number drawn at the start of the process.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// The failure domain.
    #[prost(string, tag = "4")]
    pub domain: String,
    /// Random bytes that the other side's proof must cover.
    #[prost(bytes = "vec", tag = "5")]
    pub nonce: Vec<u8>,
    /// Keyed digest of the other side's nonce; empty in the first frame of the dialling side.
    #[prost(bytes = "vec", tag = "6")]
    pub proof: Vec<u8>,
}

/// What an instance tells its peers at each heartbeat.
#[derive(Clone, PartialEq, Message)]
pub struct HeartbeatBody {
    /// Counts the heartbeats with content that the process has sent to this peer on any link; zero
    /// if the heartbeat only shows that the link works.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// The revision of the tables in force.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Whether the instance is shutting down.
    #[prost(bool, tag = "3")]
    pub is_draining: bool,
    /// Changes of upstreams that the sender owns since its previous heartbeat.
    #[prost(message, repeated, tag = "4")]
    pub residency: Vec<ResidencyItem>,
    /// Fingerprints of requests that were in flight at an upstream crash, with the crash count;
    /// only those that changed.
    #[prost(btree_map = "uint64, uint32", tag = "5")]
    pub suspects: std::collections::BTreeMap<u64, u32>,
    /// Failure domains that the sender reaches, its own among them; empty if unchanged.
    #[prost(string, repeated, tag = "6")]
    pub reachable: Vec<String>,
    /// Whether the receiver has to forget what it was told before; set on the first heartbeat of a
    /// link.
    #[prost(bool, tag = "7")]
    pub is_first: bool,
}

/// The state of one upstream, told by its owner.
#[derive(Clone, PartialEq, Message)]
pub struct ResidencyItem {
    /// The upstream; empty in a later item of the same number.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// The epoch of the owner; zero in a later item of the same number.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Requests running.
    #[prost(uint32, tag = "3")]
    pub running: u32,
    /// Requests queued, by rank.
    #[prost(uint32, repeated, tag = "4")]
    pub queued: Vec<u32>,
    /// Adapters that became resident.
    #[prost(string, repeated, tag = "5")]
    pub added: Vec<String>,
    /// Adapters that were evicted.
    #[prost(string, repeated, tag = "6")]
    pub removed: Vec<String>,
    /// Whether `added` is the complete list.
    #[prost(bool, tag = "7")]
    pub is_full: bool,
    /// Whether the upstream answers its owner.
    #[prost(bool, tag = "8")]
    pub is_healthy: bool,
    /// Stands for the upstream and the epoch in later items on the same link.
    #[prost(uint32, tag = "9")]
    pub number: u32,
    /// Whether the sender has given up the upstream.
    #[prost(bool, tag = "10")]
    pub is_dropped: bool,
}

/// Forwards a request to the owner of an upstream.
#[derive(Clone, PartialEq, Message)]
pub struct CallOpen {
    /// The request id, 16 bytes in big-endian order.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// The number of the attempt, from 1.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// The upstream.
    #[prost(string, tag = "3")]
    pub upstream: String,
    /// The adapter as `name@version`; empty for plain services.
    #[prost(string, tag = "4")]
    pub adapter: String,
    /// The caller.
    #[prost(string, tag = "5")]
    pub caller: String,
    /// The position of the rank, the most urgent first.
    #[prost(uint32, tag = "6")]
    pub rank: u32,
    /// Time left until the deadline, in milliseconds.
    #[prost(uint64, tag = "7")]
    pub time_left_ms: u64,
    /// The HTTP method; plain services only.
    #[prost(string, tag = "8")]
    pub method: String,
    /// The path and query; plain services only.
    #[prost(string, tag = "9")]
    pub path: String,
    /// The content type of the body.
    #[prost(string, tag = "10")]
    pub content_type: String,
    /// The body.
    #[prost(bytes = "vec", tag = "11")]
    pub body: Vec<u8>,
    /// Whether the request may be sent to an upstream a second time.
    #[prost(bool, tag = "12")]
    pub is_repeatable: bool,
    /// The route, for fingerprints, logs and metrics.
    #[prost(string, tag = "13")]
    pub route: String,
    /// The revision of the tables by which the entry routed the request.
    #[prost(uint64, tag = "14")]
    pub revision: u64,
    /// The first token that is wanted; above zero when a cut stream is resumed.
    #[prost(uint64, tag = "15")]
    pub from_token: u64,
    /// The longest answer in tokens; zero if the caller stated none.
    #[prost(uint32, tag = "16")]
    pub tokens: u32,
}

/// Part of the answer to a forwarded request.
#[derive(Clone, PartialEq, Message)]
pub struct CallChunk {
    /// The content.
    #[prost(oneof = "chunk::Body", tags = "1, 2, 3, 4, 5")]
    pub body: Option<chunk::Body>,
}

/// The contents of a part of an answer.
pub mod chunk {
    use super::{Message, Oneof, RefusalBody};

    /// The content of a part of an answer.
    #[derive(Clone, PartialEq, Oneof)]
    pub enum Body {
        /// The owner is about to write the request towards the upstream.
        #[prost(message, tag = "1")]
        Started(StartedBody),
        /// A token of a completion.
        #[prost(message, tag = "2")]
        Token(TokenBody),
        /// The head and body of a plain answer.
        #[prost(message, tag = "3")]
        Plain(PlainBody),
        /// The answer is complete.
        #[prost(message, tag = "4")]
        End(EndBody),
        /// The request failed.
        #[prost(message, tag = "5")]
        Refused(RefusalBody),
    }

    /// States who runs the request.
    #[derive(Clone, PartialEq, Message)]
    pub struct StartedBody {
        /// The upstream.
        #[prost(string, tag = "1")]
        pub upstream: String,
        /// The adapter under the name that the engine uses.
        #[prost(string, tag = "2")]
        pub engine_name: String,
    }

    /// A token as the engine stated it.
    #[derive(Clone, PartialEq, Message)]
    pub struct TokenBody {
        /// The attempt as stated by the engine.
        #[prost(string, tag = "1")]
        pub attempt: String,
        /// The adapter as stated by the engine, `name@version`.
        #[prost(string, tag = "2")]
        pub adapter: String,
        /// The position in the answer, from 0.
        #[prost(uint64, tag = "3")]
        pub token: u64,
        /// The text.
        #[prost(string, tag = "4")]
        pub text: String,
    }

    /// The answer of a plain service.
    #[derive(Clone, PartialEq, Message)]
    pub struct PlainBody {
        /// The HTTP status.
        #[prost(uint32, tag = "1")]
        pub status: u32,
        /// The content type.
        #[prost(string, tag = "2")]
        pub content_type: String,
        /// The body.
        #[prost(bytes = "vec", tag = "3")]
        pub body: Vec<u8>,
        /// The attempt as stated by the service; empty if it states none.
        #[prost(string, tag = "4")]
        pub attempt: String,
    }

    /// The end marker.
    #[derive(Clone, PartialEq, Message)]
    pub struct EndBody {
        /// The reason that the engine gave.
        #[prost(string, tag = "1")]
        pub finish: String,
        /// The number of tokens in the whole answer.
        #[prost(uint64, tag = "2")]
        pub tokens: u64,
    }
}

/// An error that crosses a link.
#[derive(Clone, PartialEq, Message)]
pub struct RefusalBody {
    /// The code of the error kind.
    #[prost(string, tag = "1")]
    pub code: String,
    /// What happened.
    #[prost(string, tag = "2")]
    pub detail: String,
    /// `not_run`, `ran` or `unknown`.
    #[prost(string, tag = "3")]
    pub run_state: String,
    /// Time after which a retry makes sense, in milliseconds; zero if unknown.
    #[prost(uint64, tag = "4")]
    pub retry_after_ms: u64,
}

/// A question with one reply.
#[derive(Clone, PartialEq, Message)]
pub struct PeerRequest {
    /// The content.
    #[prost(oneof = "ask::Body", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub body: Option<ask::Body>,
}

/// The contents of a question.
pub mod ask {
    use super::{
        AdapterRequest, ChangeRequest, ConfigPull, LoadGossip, Oneof, OwnerHandover, PermitBid,
        PermitRelease,
    };

    /// The content of a question.
    #[derive(Clone, PartialEq, Oneof)]
    pub enum Body {
        /// Asks for newer tables.
        #[prost(message, tag = "1")]
        Pull(ConfigPull),
        /// Asks for load permits.
        #[prost(message, tag = "2")]
        Bid(PermitBid),
        /// Returns load permits.
        #[prost(message, tag = "3")]
        Done(PermitRelease),
        /// Hands upstreams over.
        #[prost(message, tag = "4")]
        Handover(OwnerHandover),
        /// Asks for an adapter to be made resident.
        #[prost(message, tag = "5")]
        Want(AdapterRequest),
        /// Tells the sender's share of the load.
        #[prost(message, tag = "6")]
        Share(LoadGossip),
        /// Asks for changes in the store.
        #[prost(message, tag = "7")]
        Changes(ChangeRequest),
    }
}

/// The reply to a question.
#[derive(Clone, PartialEq, Message)]
pub struct PeerReply {
    /// The content.
    #[prost(oneof = "reply::Body", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub body: Option<reply::Body>,
}

/// The contents of a reply.
pub mod reply {
    use super::{
        AdapterReply, ChangeReply, ConfigDelta, GossipReply, Oneof, PermitGrant, RefusalBody,
    };

    /// The content of a reply.
    #[derive(Clone, PartialEq, Oneof)]
    pub enum Body {
        /// Newer tables.
        #[prost(message, tag = "1")]
        Delta(ConfigDelta),
        /// Granted load permits.
        #[prost(message, tag = "2")]
        Grant(PermitGrant),
        /// Accepted.
        #[prost(bool, tag = "3")]
        Done(bool),
        /// Refused.
        #[prost(message, tag = "4")]
        Refused(RefusalBody),
        /// The adapter is resident.
        #[prost(message, tag = "5")]
        Resident(AdapterReply),
        /// The share was taken.
        #[prost(message, tag = "6")]
        Shared(GossipReply),
        /// Changes in the store.
        #[prost(message, tag = "7")]
        Changes(ChangeReply),
    }
}

/// Asks for tables newer than a revision.
#[derive(Clone, PartialEq, Message)]
pub struct ConfigPull {
    /// The revision that the asking instance holds.
    #[prost(uint64, tag = "1")]
    pub base: u64,
}

/// The difference between two revisions of the tables.
#[derive(Clone, PartialEq, Message)]
pub struct ConfigDelta {
    /// The revision that the difference starts from; zero if `rows` is the complete set.
    #[prost(uint64, tag = "1")]
    pub base: u64,
    /// The revision that it leads to.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Rows added or changed: key and JSON.
    #[prost(btree_map = "string, string", tag = "3")]
    pub rows: std::collections::BTreeMap<String, String>,
    /// Keys of removed rows.
    #[prost(string, repeated, tag = "4")]
    pub removed: Vec<String>,
    /// Digest of the complete rows after the change.
    #[prost(uint64, tag = "5")]
    pub digest: u64,
}

/// Asks for load permits, the most valuable first.
#[derive(Clone, PartialEq, Message)]
pub struct PermitBid {
    /// The weight store.
    #[prost(string, tag = "1")]
    pub store: String,
    /// The upstream.
    #[prost(string, tag = "2")]
    pub upstream: String,
    /// The adapter, `name@version`.
    #[prost(string, tag = "3")]
    pub adapter: String,
    /// The value that the load unlocks.
    #[prost(double, tag = "4")]
    pub value: f64,
}

/// Replies to a bid.
#[derive(Clone, PartialEq, Message)]
pub struct PermitGrant {
    /// The permit; zero if none was granted.
    #[prost(uint64, tag = "1")]
    pub permit: u64,
    /// Time for which an unused permit holds, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub valid_ms: u64,
}

/// Returns a permit after its load has ended.
#[derive(Clone, PartialEq, Message)]
pub struct PermitRelease {
    /// The weight store.
    #[prost(string, tag = "1")]
    pub store: String,
    /// The permit.
    #[prost(uint64, tag = "2")]
    pub permit: u64,
    /// Whether the load was started.
    #[prost(bool, tag = "3")]
    pub is_used: bool,
}

/// Hands upstreams over to their next owner.
#[derive(Clone, PartialEq, Message)]
pub struct OwnerHandover {
    /// The upstreams.
    #[prost(message, repeated, tag = "1")]
    pub items: Vec<HandoverItem>,
}

/// One upstream of a handover.
#[derive(Clone, PartialEq, Message)]
pub struct HandoverItem {
    /// The upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// The epoch that ends.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Whether no request of that epoch is running and none will be started.
    #[prost(bool, tag = "3")]
    pub is_released: bool,
}

/// Asks the owner of an upstream to make an adapter resident there.
#[derive(Clone, PartialEq, Message)]
pub struct AdapterRequest {
    /// The upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// The base model.
    #[prost(string, tag = "2")]
    pub model: String,
    /// The adapter; empty for the base model itself.
    #[prost(string, tag = "3")]
    pub adapter: String,
    /// The lowest version that is acceptable; zero if any is.
    #[prost(uint64, tag = "4")]
    pub min_version: u64,
    /// Milliseconds after which the adapter is of no use to the sender any more.
    #[prost(uint32, tag = "5")]
    pub useful_ms: u32,
    /// Value of serving the waiting request on time, in thousandths.
    #[prost(uint32, tag = "6")]
    pub value: u32,
    /// Milliseconds within which the adapter leads to an answer on time.
    #[prost(uint32, tag = "7")]
    pub on_time_ms: u32,
}

/// Tells that an adapter is resident.
#[derive(Clone, PartialEq, Message)]
pub struct AdapterReply {
    /// The version that is loaded; zero if it is not known.
    #[prost(uint64, tag = "1")]
    pub version: u64,
}

/// One instance's share of the load of all upstreams, and what it knows as an owner.
#[derive(Clone, PartialEq, Message)]
pub struct LoadGossip {
    /// The requests that the sender has in flight, by upstream.
    #[prost(message, repeated, tag = "1")]
    pub in_flight: Vec<InFlightItem>,
    /// The upstreams that the sender owns, with their resident adapters.
    #[prost(message, repeated, tag = "2")]
    pub owned: Vec<OwnedUpstream>,
    /// Fingerprints of requests that were in flight at an upstream crash, with the crash count.
    #[prost(btree_map = "uint64, uint32", tag = "3")]
    pub suspects: std::collections::BTreeMap<u64, u32>,
    /// The failure domains that the sender owns.
    #[prost(message, repeated, tag = "4")]
    pub owned_domains: Vec<OwnedDomain>,
    /// Adapters that the sender has used since its previous share.
    #[prost(message, repeated, tag = "5")]
    pub used: Vec<AdapterUsage>,
    /// The newest revision of the configuration that the sender has seen.
    #[prost(uint64, tag = "7")]
    pub config_revision: u64,
    /// The newest revision among the upstreams that the sender has seen.
    #[prost(uint64, tag = "8")]
    pub upstream_revision: u64,
    /// The newest revision among the adapter versions that the sender has seen.
    #[prost(uint64, tag = "9")]
    pub version_revision: u64,
    /// The newest revision among the instances that the sender has seen.
    #[prost(uint64, tag = "10")]
    pub instance_revision: u64,
    /// The instances whose requests in flight are listed; zero means the sender alone.
    #[prost(uint32, tag = "11")]
    pub instances: u32,
    /// Whether requests in flight are left out, since the receiver learns them from other instances.
    #[prost(bool, tag = "12")]
    pub is_without_load: bool,
    /// Whether the receiver passes the load of the sender on, and tells the sender that of all others.
    #[prost(bool, tag = "13")]
    pub is_child: bool,
    /// Whether the share tells the load and the revisions only; what else was told before still holds.
    #[prost(bool, tag = "14")]
    pub is_load_only: bool,
}

/// A failure domain that an instance owns.
#[derive(Clone, PartialEq, Message)]
pub struct OwnedDomain {
    /// The failure domain.
    #[prost(string, tag = "1")]
    pub domain: String,
    /// The epoch of the ownership.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
}

/// Replies to a share.
#[derive(Clone, PartialEq, Message)]
pub struct GossipReply {
    /// Failure domains whose ownership by the sender of the share is not acknowledged, because the
    /// replying instance owns them or is taking them over.
    #[prost(string, repeated, tag = "1")]
    pub contested: Vec<String>,
    /// Upstreams that were marked as unchanged and that the replying instance does not know.
    #[prost(string, repeated, tag = "2")]
    pub unknown: Vec<String>,
}

/// Asks for changes in the store that the replying instance watches.
#[derive(Clone, PartialEq, Message)]
pub struct ChangeRequest {
    /// The kind of objects, by its place among all kinds.
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    /// The revision of the store up to which the asking instance has read the kind.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Milliseconds to wait for a change.
    #[prost(uint32, tag = "3")]
    pub wait_ms: u32,
}

/// Changes in the store; none if the wait has ended without one.
#[derive(Clone, PartialEq, Message)]
pub struct ChangeReply {
    /// Objects that were created or replaced.
    #[prost(message, repeated, tag = "1")]
    pub objects: Vec<ChangedObject>,
    /// Names of deleted objects.
    #[prost(string, repeated, tag = "2")]
    pub deleted: Vec<String>,
    /// The revision of the store from which further changes follow.
    #[prost(uint64, tag = "3")]
    pub covered: u64,
}

/// An object of the store.
#[derive(Clone, PartialEq, Message)]
pub struct ChangedObject {
    /// The name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The revision of the last change that matters to instances.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// What matters of the content, encoded as the store's own content is.
    #[prost(bytes = "vec", tag = "3")]
    pub payload: Vec<u8>,
}

/// Requests in flight at one upstream.
#[derive(Clone, PartialEq, Message)]
pub struct InFlightItem {
    /// The upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Requests that were sent and have not ended.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
    /// Prompt tokens of requests whose first event has not arrived.
    #[prost(uint32, tag = "3")]
    pub prompt_tokens: u32,
    /// Tokens of memory that the requests take at their end.
    #[prost(uint32, tag = "4")]
    pub memory_tokens: u32,
}

/// An upstream as its owner knows it.
#[derive(Clone, PartialEq, Message)]
pub struct OwnedUpstream {
    /// The upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// The time at which the upstream started, as the upstream states it.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Base models that are resident.
    #[prost(string, repeated, tag = "3")]
    pub models: Vec<String>,
    /// Resident adapters, as `model/adapter@version`.
    #[prost(string, repeated, tag = "4")]
    pub adapters: Vec<String>,
    /// Milliseconds of loads that wait or run at the upstream.
    #[prost(uint32, tag = "5")]
    pub backlog_ms: u32,
    /// Whether models and adapters are left out, since the receiver has confirmed them.
    #[prost(bool, tag = "6")]
    pub is_unchanged: bool,
}

/// Uses of one adapter at one upstream.
#[derive(Clone, PartialEq, Message)]
pub struct AdapterUsage {
    /// The upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// The adapter, as `model/adapter`.
    #[prost(string, tag = "2")]
    pub adapter: String,
    /// Number of requests that were sent since the previous share.
    #[prost(uint32, tag = "3")]
    pub count: u32,
    /// Number of requests in flight.
    #[prost(uint32, tag = "4")]
    pub running: u32,
}
